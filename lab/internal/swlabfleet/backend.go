package swlabfleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
)

const (
	// serviceSigma is the standard deviation of the logarithm of service times.
	serviceSigma = 0.3
	// maxWaitingPerSlot bounds the requests that wait on a server, for each of its slots.
	maxWaitingPerSlot = 2
	// Service times are multiplied by coldFactor right after a start. The factor falls to 1 over warmUpDuration.
	warmUpDuration = 3 * time.Second
	coldFactor     = 5
	// restartDelay is the time that a server is down after a crash.
	restartDelay = 2 * time.Second
)

// index is one index, with its published snapshots, oldest first, and the servers that hold it.
type index struct {
	pool      Pool
	servers   []*swlabbackend.Server
	snapshots []publishedSnapshot
}

type publishedSnapshot struct {
	snapshot *swlabbackend.Snapshot
	retired  bool
}

// startBackends starts all backend servers and publishes the first snapshot of every index.
func (fleet *Fleet) startBackends() error {
	for _, pool := range fleet.config.User.Pools {
		newIndex := &index{pool: pool}
		for number := range pool.Shards * pool.Replicas {
			server, err := fleet.startServer(pool, number)
			if err != nil {
				return err
			}
			newIndex.servers = append(newIndex.servers, server)
			fleet.servers = append(fleet.servers, server)
		}
		fleet.indexes[pool.Index] = newIndex
		if err := fleet.PublishSnapshot(pool.Index, "s1", pool.Shards); err != nil {
			return err
		}
	}
	return fleet.publishServers()
}

// startServer starts one server of a pool. The replicas of a shard are spread over the data centres; when each shard has
// one replica, the shards are spread over them.
func (fleet *Fleet) startServer(pool Pool, number int) (*swlabbackend.Server, error) {
	shard, replica := number%pool.Shards, number/pool.Shards
	position := replica
	if pool.Replicas == 1 {
		position = shard
	}
	dataCentre := fleet.config.User.DataCentres[position%len(fleet.config.User.DataCentres)]
	return swlabbackend.Start(swlabbackend.Config{
		Name:       fmt.Sprintf("%s-%d-%d", pool.Index, shard, replica),
		DataCentre: dataCentre.Name, Slots: pool.Slots, MaxWaiting: maxWaitingPerSlot * pool.Slots,
		MaxConnections: pool.Connections, ConnectDelay: pool.ConnectDelay,
		MedianServiceTime: pool.MedianServiceTime, ServiceTimeSigma: serviceSigma, StartWarm: true,
		WarmUpDuration: warmUpDuration, ColdFactor: coldFactor,
		RestartDelay: restartDelay, Seed: fleet.config.Seed, Journal: fleet.Journal,
	})
}

// replicas returns the servers that hold a shard. A snapshot may have more shards than the pool: shard numbers wrap around
// at the pool's number of shards.
func (index *index) replicas(shard int) []*swlabbackend.Server {
	var servers []*swlabbackend.Server
	for replica := range index.pool.Replicas {
		servers = append(servers, index.servers[replica*index.pool.Shards+shard%index.pool.Shards])
	}
	return servers
}

// PublishSnapshot creates a snapshot with the given number of shards, adds its shards to the servers and lists it in the
// catalogue.
func (fleet *Fleet) PublishSnapshot(name, id string, shards int) error {
	index := fleet.indexes[name]
	snapshot := swlabbackend.NewSnapshot(fleet.config.Seed, name, id, shards, index.pool.DocumentCount)
	for shard := range shards {
		for _, server := range index.replicas(shard) {
			server.AddShards(snapshot, shard)
		}
	}
	fleet.mutex.Lock()
	index.snapshots = append(index.snapshots, publishedSnapshot{snapshot: snapshot})
	fleet.mutex.Unlock()
	return fleet.publishCatalogue(index)
}

// RetireSnapshot marks a snapshot in the catalogue as retired, so that no new query uses it.
func (fleet *Fleet) RetireSnapshot(name, id string) error {
	index := fleet.indexes[name]
	fleet.mutex.Lock()
	for i := range index.snapshots {
		if index.snapshots[i].snapshot.ID == id {
			index.snapshots[i].retired = true
		}
	}
	fleet.mutex.Unlock()
	return fleet.publishCatalogue(index)
}

// DropSnapshot removes a snapshot from all servers. The catalogue still lists it.
func (fleet *Fleet) DropSnapshot(name, id string) {
	for _, server := range fleet.indexes[name].servers {
		server.DropSnapshot(name, id)
	}
}

func (fleet *Fleet) publishCatalogue(index *index) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	catalogue := swindex.Catalogue{Index: index.pool.Index}
	for _, publishedSnapshot := range index.snapshots {
		entry := swindex.Snapshot{ID: publishedSnapshot.snapshot.ID, Retired: publishedSnapshot.retired}
		for shard := range publishedSnapshot.snapshot.Shards {
			shardEntry := swindex.Shard{Number: shard, Documents: publishedSnapshot.snapshot.DocumentCount(shard)}
			for _, server := range index.replicas(shard) {
				shardEntry.Replicas = append(shardEntry.Replicas, server.Name())
			}
			entry.Shards = append(entry.Shards, shardEntry)
		}
		catalogue.Snapshots = append(catalogue.Snapshots, entry)
	}
	_, err := fleet.Platform.Put(swindex.KindCatalogue, index.pool.Index, catalogue)
	return err
}

// publishServers writes the server list of every data centre to the platform.
func (fleet *Fleet) publishServers() error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, dataCentre := range fleet.config.User.DataCentres {
		list := swindex.ServerList{DataCentre: dataCentre.Name}
		for _, index := range fleet.indexes {
			for _, server := range index.servers {
				if server.DataCentre() == dataCentre.Name {
					list.Servers = append(list.Servers, swindex.Server{
						Name: server.Name(), Address: server.Address(), DataCentre: dataCentre.Name,
						Slots: index.pool.Slots, Connections: index.pool.Connections, Leaving: fleet.leaving[server.Name()],
					})
				}
			}
		}
		if _, err := fleet.Platform.Put(swindex.KindServers, dataCentre.Name, list); err != nil {
			return err
		}
	}
	return nil
}

// StartLeaving makes a server refuse new work. The platform's lists show the server as leaving only when announce is set.
func (fleet *Fleet) StartLeaving(server *swlabbackend.Server, announce bool) error {
	server.StartLeaving()
	if !announce {
		return nil
	}
	return fleet.AnnounceLeaving(server, true)
}

// AnnounceLeaving sets whether the platform's lists show a server as leaving.
func (fleet *Fleet) AnnounceLeaving(server *swlabbackend.Server, leaving bool) error {
	fleet.mutex.Lock()
	fleet.leaving[server.Name()] = leaving
	fleet.mutex.Unlock()
	state := stateLive
	if leaving {
		state = stateLeaving
	}
	fleet.setState(server.Name(), state)
	return fleet.publishServers()
}

// Servers returns the servers that hold an index, or all servers when the name is empty.
func (fleet *Fleet) Servers(name string) []*swlabbackend.Server {
	if name == "" {
		return slices.Clone(fleet.servers)
	}
	return slices.Clone(fleet.indexes[name].servers)
}

// Replicas returns the servers that hold one shard.
func (fleet *Fleet) Replicas(name string, shard int) []*swlabbackend.Server {
	return fleet.indexes[name].replicas(shard)
}

// Snapshot returns a snapshot that has been published, even if it has been retired or dropped since.
func (fleet *Fleet) Snapshot(name, id string) (*swlabbackend.Snapshot, error) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if index, ok := fleet.indexes[name]; ok {
		for _, publishedSnapshot := range index.snapshots {
			if publishedSnapshot.snapshot.ID == id {
				return publishedSnapshot.snapshot, nil
			}
		}
	}
	return nil, errors.Errorf("index %s has no snapshot %s", name, id)
}

// Snapshots returns all snapshots of an index that have been published, including retired and dropped ones.
func (fleet *Fleet) Snapshots(name string) []*swlabbackend.Snapshot {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var snapshots []*swlabbackend.Snapshot
	if index, ok := fleet.indexes[name]; ok {
		for _, publishedSnapshot := range index.snapshots {
			snapshots = append(snapshots, publishedSnapshot.snapshot)
		}
	}
	return snapshots
}
