package swlabscenario

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabplatform"
)

const (
	// stragglerFactor multiplies the service times of a slow replica.
	stragglerFactor = 20
	// wrongAnswerChance is the probability of each kind of wrong response.
	wrongAnswerChance = 0.02
	// repartitionedShards is the number of shards after a repartition. The index has ten before.
	repartitionedShards = 12
	// platformDownFraction is the part of a run in which the platform is down.
	platformDownFraction = 0.4
)

// action injects or ends a fault.
type action = func(ctx context.Context, harness *Harness) error

// slowReplica multiplies the service times of the first replica of a shard. While the factor is above 1, the replica reports
// that it is ready and idle.
func slowReplica(shard int, factor float64) action {
	return func(_ context.Context, harness *Harness) error {
		harness.Fleet.Replicas(harness.urgentIndex(), shard)[0].SetFault(swlabbackend.Fault{ServiceTimeFactor: factor, ReportsIdle: factor > 1})
		return nil
	}
}

// publishSnapshot publishes a snapshot of the urgent index. When shards is zero, it has as many shards as the pool.
func publishSnapshot(id string, shards int) action {
	return func(_ context.Context, harness *Harness) error {
		if shards == 0 {
			shards = harness.User.Pools[0].Shards
		}
		return harness.Fleet.PublishSnapshot(harness.urgentIndex(), id, shards)
	}
}

func retireSnapshot(id string) action {
	return func(_ context.Context, harness *Harness) error {
		return harness.Fleet.RetireSnapshot(harness.urgentIndex(), id)
	}
}

func dropSnapshot(id string) action {
	return func(_ context.Context, harness *Harness) error {
		harness.Fleet.DropSnapshot(harness.urgentIndex(), id)
		return nil
	}
}

// sendWrongAnswers makes all servers fail requests like refused ones with the given probability, and those of the urgent index also send each
// kind of wrong response.
func sendWrongAnswers(chance float64) action {
	return func(_ context.Context, harness *Harness) error {
		harness.forEachServer("", func(server *swlabbackend.Server) {
			server.SetFault(swlabbackend.Fault{FailAsRejectionChance: chance})
		})
		harness.forEachServer(harness.urgentIndex(), func(server *swlabbackend.Server) {
			server.SetFault(swlabbackend.Fault{MismatchChance: chance, WrongSnapshotChance: chance, DuplicateChance: chance, FailAsRejectionChance: chance})
		})
		return nil
	}
}

// makeUnresponsive makes every open connection to backend servers unresponsive.
func makeUnresponsive(_ context.Context, harness *Harness) error {
	harness.forEachServer("", func(server *swlabbackend.Server) { server.MakeUnresponsive(false) })
	return nil
}

// takeDownServers takes down the matching servers of the urgent index, until bringUpServers.
func takeDownServers(match func(harness *Harness, server *swlabbackend.Server) bool) action {
	return func(_ context.Context, harness *Harness) error {
		harness.forEachServer(harness.urgentIndex(), func(server *swlabbackend.Server) {
			if match(harness, server) {
				server.TakeDown()
			}
		})
		return nil
	}
}

// bringUpServers starts the matching servers of the urgent index again.
func bringUpServers(match func(harness *Harness, server *swlabbackend.Server) bool) action {
	return func(_ context.Context, harness *Harness) error {
		var firstErr error
		harness.forEachServer(harness.urgentIndex(), func(server *swlabbackend.Server) {
			if !match(harness, server) {
				return
			}
			if err := server.BringUp(); err != nil {
				firstErr = err
			}
		})
		return firstErr
	}
}

// inFirstDataCentre reports whether a server is in the first data centre.
func inFirstDataCentre(harness *Harness, server *swlabbackend.Server) bool {
	return server.DataCentre() == harness.dataCentre(0)
}

// inFirstShard reports whether a server holds the first shard of the urgent index.
func inFirstShard(harness *Harness, server *swlabbackend.Server) bool {
	for _, replica := range harness.Fleet.Replicas(harness.urgentIndex(), 0) {
		if replica == server {
			return true
		}
	}
	return false
}

// startLeaving makes one replica of a shard leave. The platform's lists show it only when announce is set.
func startLeaving(shard int, announce bool) action {
	return func(_ context.Context, harness *Harness) error {
		return harness.Fleet.StartLeaving(harness.Fleet.Replicas(harness.urgentIndex(), shard)[shard%3], announce)
	}
}

func killVM(dataCentre, number int) action {
	return func(_ context.Context, harness *Harness) error {
		harness.Fleet.KillVM(harness.Fleet.VM(dataCentre, number))
		return nil
	}
}

func startVM(dataCentre, number int) action {
	return func(ctx context.Context, harness *Harness) error {
		return harness.Fleet.StartVM(ctx, harness.Fleet.VM(dataCentre, number))
	}
}

func restartVM(number int) action {
	return func(ctx context.Context, harness *Harness) error {
		return harness.restartVM(ctx, harness.Fleet.VMs[number])
	}
}

// pauseVM suspends a VM for a duration.
func pauseVM(dataCentre, number int, duration time.Duration) action {
	return func(ctx context.Context, harness *Harness) error {
		vm := harness.Fleet.VM(dataCentre, number)
		harness.markRulesUnreachable(vm.Name, duration)
		if err := harness.Fleet.SetVMPaused(vm, true); err != nil {
			return err
		}
		select {
		case <-time.After(duration):
		case <-ctx.Done():
		}
		return harness.Fleet.SetVMPaused(vm, false)
	}
}

// setPeerPartition partitions a data centre from the others, or ends the partition.
func setPeerPartition(dataCentre int, partitioned bool) action {
	return func(_ context.Context, harness *Harness) error {
		harness.Fleet.SetPeerPartition(harness.dataCentre(dataCentre), partitioned)
		return nil
	}
}

// setPlatformPartition partitions a data centre from the platform, or ends the partition.
func setPlatformPartition(dataCentre int, partitioned bool) action {
	return func(_ context.Context, harness *Harness) error {
		harness.Fleet.SetPlatformPartition(harness.dataCentre(dataCentre), partitioned)
		return nil
	}
}

// markRulesUnreachable records that the VMs of a data centre cannot receive rules for a duration.
func markRulesUnreachable(dataCentre int, duration time.Duration) action {
	return func(_ context.Context, harness *Harness) error {
		harness.markRulesUnreachable(harness.dataCentre(dataCentre), duration)
		return nil
	}
}

func changeRules(_ context.Context, harness *Harness) error {
	return harness.changeRules()
}

// Events that replace the faults of the platform.
var (
	platformDown         = setPlatformFault(swlabplatform.Fault{Down: true})
	platformSlow         = setPlatformFault(swlabplatform.Fault{Slow: time.Second})
	platformUnresponsive = setPlatformFault(swlabplatform.Fault{WatchSilent: true})
	platformStale        = setPlatformFault(swlabplatform.Fault{StaleReads: true})
	platformLosesAnswers = setPlatformFault(swlabplatform.Fault{LoseAnswers: -1})
	platformHealthy      = setPlatformFault(swlabplatform.Fault{})
)
