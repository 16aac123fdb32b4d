package swlabsoak

import "fmt"

// writeConfigurationAgain writes the latest configuration, which the store may have lost.
func (fleet *fleet) writeConfigurationAgain() error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if err := fleet.writeEvacuationsAgain(); err != nil {
		return err
	}
	return fleet.store.Put("config", "main", fleet.configuration)
}

// writeNextConfiguration writes a configuration with a new version to the store.
func (fleet *fleet) writeNextConfiguration() error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.configurationVersion += versionStep
	version, ledger := fleet.configurationVersion, fleet.ledgerService()
	gather := make([]string, shardCount)
	for i := range gather {
		gather[i] = shardName(i)
	}
	backends := []map[string]any{}
	for _, name := range fleet.services() {
		backends = append(backends, map[string]any{"name": name, "health_check_path": "/healthz", "max_connections": 60})
	}
	fleet.configuration = map[string]any{
		"version": version, "backends": backends,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"routes": []map[string]any{
			{"name": "search", "hostname": "soak", "path_prefix": "/search/", "route_type": "safe", "timeout_ms": 1500,
				"target_latency_ms": 150, "priority": 0, "gather": gather, "attempts": 2, "top_k": 10, "min_shard_ratio": 0.75},
			{"name": "post", "hostname": "soak", "path_prefix": "/post/", "route_type": "unsafe", "timeout_ms": 2000,
				"target_latency_ms": 300, "priority": 1, "backend": ledger, "attempts": 2},
			{"name": fmt.Sprint("v", version), "hostname": "soak", "path_prefix": fmt.Sprintf("/version/%d/", version),
				"route_type": "safe", "timeout_ms": 1500, "priority": 1, "backend": ledger, "attempts": 2},
		},
	}
	fleet.results.recorder.extend(fleet.configuration, version, ledger, gather)
	return fleet.store.Put("config", "main", fleet.configuration)
}

// ledgerService returns the service of the route that is not gathered. The caller holds the mutex.
func (fleet *fleet) ledgerService() string {
	if fleet.usesNextLedger {
		return "ledger-next"
	}
	return "ledger"
}
