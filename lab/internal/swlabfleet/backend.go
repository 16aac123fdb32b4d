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
	// serviceSigma is the deviation of the logarithm of service times.
	serviceSigma = 0.3
	// waitingEach is the number of requests that may wait at a server for each of its slots.
	maxWaitingPerSlot = 2
	// coldFor and coldFactor give the cold start of a server.
	warmUpDuration = 3 * time.Second
	coldFactor     = 5
	// restartAfter is how long a server is down after a crash.
	restartDelay = 2 * time.Second
)

// index is one index with its published snapshots, oldest first, and the servers that hold it.
type index struct {
	pool      Pool
	servers   []*swlabbackend.Server
	snapshots []publishedSnapshot
}

type publishedSnapshot struct {
	snapshot *swlabbackend.Snapshot
	retired  bool
}

// startBackends starts the servers, and publishes the first snapshot of every index.
func (fleet *Fleet) startBackends() error {
	for _, pool := range fleet.config.User.Pools {
		made := &index{pool: pool}
		for number := range pool.Shards * pool.Replicas {
			server, err := fleet.startServer(pool, number)
			if err != nil {
				return err
			}
			made.servers = append(made.servers, server)
			fleet.servers = append(fleet.servers, server)
		}
		fleet.indexes[pool.Index] = made
		if err := fleet.PublishSnapshot(pool.Index, "s1", pool.Shards); err != nil {
			return err
		}
	}
	return fleet.publishServers()
}

// startServer starts a server of a pool; the replicas of a shard are spread over the data centres.
func (fleet *Fleet) startServer(pool Pool, number int) (*swlabbackend.Server, error) {
	shard, replica := number%pool.Shards, number/pool.Shards
	place := replica
	if pool.Replicas == 1 {
		place = shard
	}
	dataCentre := fleet.config.User.DataCentres[place%len(fleet.config.User.DataCentres)]
	return swlabbackend.Start(swlabbackend.Config{
		Name:       fmt.Sprintf("%s-%d-%d", pool.Index, shard, replica),
		DataCentre: dataCentre.Name, Slots: pool.Slots, MaxWaiting: maxWaitingPerSlot * pool.Slots,
		MaxConnections: pool.Connections, ConnectDelay: pool.ConnectDelay,
		MedianServiceTime: pool.MedianServiceTime, ServiceTimeSigma: serviceSigma, StartWarm: true, WarmUpDuration: warmUpDuration, ColdFactor: coldFactor,
		RestartDelay: restartDelay, Seed: fleet.config.Seed, Journal: fleet.Journal,
	})
}

// holders returns the servers of a shard: those of the pool's shard of the same number, going round.
func (index *index) replicas(shard int) []*swlabbackend.Server {
	var list []*swlabbackend.Server
	for replica := range index.pool.Replicas {
		list = append(list, index.servers[replica*index.pool.Shards+shard%index.pool.Shards])
	}
	return list
}

// Publish makes a snapshot with a number of shards, gives it to the servers and adds it to the catalogue.
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

// Retire marks a snapshot in the catalogue as taking no new queries.
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

// Drop makes the servers forget a snapshot.
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
		listed := swindex.Snapshot{ID: publishedSnapshot.snapshot.ID, Retired: publishedSnapshot.retired}
		for shard := range publishedSnapshot.snapshot.Shards {
			entry := swindex.Shard{Number: shard, Documents: publishedSnapshot.snapshot.DocumentCount(shard)}
			for _, server := range index.replicas(shard) {
				entry.Replicas = append(entry.Replicas, server.Name())
			}
			listed.Shards = append(listed.Shards, entry)
		}
		catalogue.Snapshots = append(catalogue.Snapshots, listed)
	}
	_, err := fleet.Platform.Put(swindex.KindCatalogue, index.pool.Index, catalogue)
	return err
}

// publishServers writes the server list of every data centre.
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

// Leave makes a server leave; the platform's lists say so only when announce is set.
func (fleet *Fleet) StartLeaving(server *swlabbackend.Server, announce bool) error {
	server.StartLeaving()
	if !announce {
		return nil
	}
	return fleet.AnnounceLeaving(server, true)
}

// Announce sets whether the platform's lists show a server as leaving.
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

// Servers returns the servers that hold an index; all when the name is empty.
func (fleet *Fleet) Servers(name string) []*swlabbackend.Server {
	if name == "" {
		return slices.Clone(fleet.servers)
	}
	return slices.Clone(fleet.indexes[name].servers)
}

// Replicas returns the servers of one shard.
func (fleet *Fleet) Replicas(name string, shard int) []*swlabbackend.Server {
	return fleet.indexes[name].replicas(shard)
}

// Snapshot returns a snapshot that was published at any time.
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

// Snapshots returns all snapshots of an index that were published at any time.
func (fleet *Fleet) Snapshots(name string) []*swlabbackend.Snapshot {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var list []*swlabbackend.Snapshot
	if index, ok := fleet.indexes[name]; ok {
		for _, publishedSnapshot := range index.snapshots {
			list = append(list, publishedSnapshot.snapshot)
		}
	}
	return list
}
