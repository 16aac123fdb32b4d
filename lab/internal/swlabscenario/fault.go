package swlabscenario

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabplatform"
)

const (
	// stragglerFactor is how much slower a straggler is.
	stragglerFactor = 20
	// wrongChance is the chance of each kind of wrong answer.
	wrongAnswerChance = 0.02
	// repartitioned is the number of shards after a repartition of ten.
	repartitionedShards = 12
	// downFor and slowFor are shares of a run during which the platform is down and slow.
	platformDownFraction = 0.4
)

type action = func(ctx context.Context, harness *Harness) error

// straggle makes the first replica of a shard slow, or normal again.
func slowReplica(shard int, factor float64) action {
	return func(_ context.Context, harness *Harness) error {
		harness.Fleet.Replicas(harness.urgentIndex(), shard)[0].SetFault(swlabbackend.Fault{ServiceTimeFactor: factor, ReportsIdle: factor > 1})
		return nil
	}
}

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

// wrong makes a part of the answers of all servers wrong.
func sendWrongAnswers(chance float64) action {
	return func(_ context.Context, harness *Harness) error {
		harness.forEachServer(harness.urgentIndex(), func(server *swlabbackend.Server) {
			server.SetFault(swlabbackend.Fault{MismatchChance: chance, WrongSnapshotChance: chance, DuplicateChance: chance})
		})
		return nil
	}
}

// silence makes every open connection to backend servers silent.
func makeUnresponsive(_ context.Context, harness *Harness) error {
	harness.forEachServer("", func(server *swlabbackend.Server) { server.MakeUnresponsive(false) })
	return nil
}

// lose takes down the servers of the urgent index that match, until regain.
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

func bringUpServers(match func(harness *Harness, server *swlabbackend.Server) bool) action {
	return func(_ context.Context, harness *Harness) error {
		var failed error
		harness.forEachServer(harness.urgentIndex(), func(server *swlabbackend.Server) {
			if !match(harness, server) {
				return
			}
			if err := server.BringUp(); err != nil {
				failed = err
			}
		})
		return failed
	}
}

// inFirst matches the servers of the first data centre.
func inFirstDataCentre(harness *Harness, server *swlabbackend.Server) bool {
	return server.DataCentre() == harness.dataCentre(0)
}

// ofShard matches the servers of the first shard.
func inFirstShard(harness *Harness, server *swlabbackend.Server) bool {
	for _, replica := range harness.Fleet.Replicas(harness.urgentIndex(), 0) {
		if replica == server {
			return true
		}
	}
	return false
}

// leave makes one replica of a shard leave.
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

// pause stops a VM from running for a time.
func pauseVM(dataCentre, number int, lasting time.Duration) action {
	return func(ctx context.Context, harness *Harness) error {
		vm := harness.Fleet.VM(dataCentre, number)
		harness.markRulesUnreachable(vm.Name, lasting)
		if err := harness.Fleet.SetVMPaused(vm, true); err != nil {
			return err
		}
		select {
		case <-time.After(lasting):
		case <-ctx.Done():
		}
		return harness.Fleet.SetVMPaused(vm, false)
	}
}

// cutPeers cuts a data centre off from the others, and cutPlatform from the platform.
func setPeerPartition(dataCentre int, cut bool) action {
	return func(_ context.Context, harness *Harness) error {
		harness.Fleet.SetPeerPartition(harness.dataCentre(dataCentre), cut)
		return nil
	}
}

func setPlatformPartition(dataCentre int, cut bool) action {
	return func(_ context.Context, harness *Harness) error {
		harness.Fleet.SetPlatformPartition(harness.dataCentre(dataCentre), cut)
		return nil
	}
}

// cannotLearn notes that a data centre is out of reach of new rules for a time.
func markRulesUnreachable(dataCentre int, lasting time.Duration) action {
	return func(_ context.Context, harness *Harness) error {
		harness.markRulesUnreachable(harness.dataCentre(dataCentre), lasting)
		return nil
	}
}

func changeRules(_ context.Context, harness *Harness) error {
	return harness.changeRules()
}

var (
	platformDown         = setPlatformFault(swlabplatform.Fault{Down: true})
	platformSlow         = setPlatformFault(swlabplatform.Fault{Slow: time.Second})
	platformUnresponsive = setPlatformFault(swlabplatform.Fault{WatchSilent: true})
	platformStale        = setPlatformFault(swlabplatform.Fault{StaleReads: true})
	platformLosesAnswers = setPlatformFault(swlabplatform.Fault{LoseAnswers: -1})
	platformHealthy      = setPlatformFault(swlabplatform.Fault{})
)
