package swlabscenario

import (
	"context"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabfleet"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// short and long are the durations of scenarios.
	short = 15 * time.Second
	long  = 30 * time.Second
	// floodFactor is the load of a flood as a multiple of what the urgent index can carry.
	floodFactor = 3
	// crashesPerSecond is the rate of a request that crashes servers, and crashResends how often its caller sends it
	// again.
	crashesPerSecond = 1
	crashResends     = 3
	// pauseFor is how long a VM is paused.
	pauseFor = 5 * time.Second
)

// All returns every scenario.
func All() []Scenario {
	return slices.Concat(indexScenarios(), serverScenarios(), floodScenarios(), vmScenarios(), platformScenarios())
}

func indexScenarios() []Scenario {
	return []Scenario{
		{Name: "calm", Description: "a day without faults", Duration: short},
		{Name: "cutover", Description: "snapshots are published, retired and dropped under load, twice", Duration: short, Events: []Event{
			{0.20, publish("s2", 0)}, {0.35, retire("s1")}, {0.40, drop("s1")},
			{0.60, publish("s3", 0)}, {0.75, retire("s2")}, {0.76, drop("s2")},
		}},
		{Name: "repartition", Description: "ten shards become twelve under load", Duration: short, Events: []Event{
			{0.30, publish("s2", repartitioned)}, {0.50, retire("s1")}, {0.60, drop("s1")},
		}},
		{Name: "crossed", Description: "answers come crossed, for another snapshot, and twice", Duration: short, Events: []Event{
			{0.10, publish("s2", 0)}, {0.20, wrong(wrongChance)}, {0.80, wrong(0)},
		}},
	}
}

func serverScenarios() []Scenario {
	return []Scenario{
		{Name: "straggler", Description: "one replica is twenty times slower and says it is idle", Duration: short, Events: []Event{
			{0.20, straggle(0, stragglerFactor)}, {0.80, straggle(0, 1)},
		}},
		{Name: "silent", Description: "all open connections to backend servers go silent for good, twice", Duration: short, Events: []Event{
			{0.30, silence}, {0.60, silence},
		}},
		{Name: "replica-loss", Description: "a data centre loses its replicas, later one shard all of its", Duration: long, Events: []Event{
			{0.20, lose(inFirst)}, {0.45, regain(inFirst)}, {0.60, lose(ofShard)}, {0.75, regain(ofShard)},
		}},
		{Name: "cold-start", Description: "a third of the servers is cold at once", Duration: short, Events: []Event{
			{0.30, func(_ context.Context, harness *Harness) error {
				harness.eachServer(harness.index(), func(server *swlabbackend.Server) {
					if inFirst(harness, server) {
						server.RestartWarmUp()
					}
				})
				return nil
			}},
		}},
		{Name: "drain", Description: "servers leave, one without a word in the platform's lists", Duration: long, Events: []Event{
			{0.20, leave(0, false)}, {0.40, leave(1, true)}, {0.60, leave(2, true)},
		}},
		{Name: "crasher", Description: "a request crashes each server that runs it, and its caller sends it again", Duration: long, ModifyStreams: crash},
	}
}

// crash adds a stream of one request that crashes servers.
func crash(_ *swlabfleet.User, _ time.Duration, streams []*swlabload.Stream) []*swlabload.Stream {
	crasher := *streams[0]
	crasher.Kind, crasher.RatePerSecond, crasher.MaxResends, crasher.NonIdempotent, crasher.Untagged = "crasher", crashesPerSecond, crashResends, false, true
	crasher.Queries = []string{"kit crash:lab"}
	return append(streams, &crasher)
}

func floodScenarios() []Scenario {
	return []Scenario{
		{Name: "flood-deferrable", Description: "deferrable work floods the index of the urgent", Duration: long, ModifyStreams: flood(swrule.Deferrable)},
		{Name: "flood-urgent", Description: "urgent work floods its index, beside other work on it", Duration: long, ModifyStreams: flood(swrule.Urgent)},
		{Name: "flood-both", Description: "deferrable work floods, and later urgent work too", Duration: long, ModifyStreams: flood(swrule.Deferrable, swrule.Urgent)},
	}
}

// flood adds floods of the priorities on the urgent index, one after another until the end, and a trickle of standard and
// deferrable work on the same index, which shows what the others keep.
func flood(priorities ...swrule.Priority) func(*swlabfleet.User, time.Duration, []*swlabload.Stream) []*swlabload.Stream {
	return func(user *swlabfleet.User, duration time.Duration, streams []*swlabload.Stream) []*swlabload.Stream {
		urgent := streams[0]
		pool := &user.Pools[0]
		capacity := float64(pool.Replicas*pool.Slots) / pool.MedianServiceTime.Seconds()
		for _, priority := range []swrule.Priority{swrule.Standard, swrule.Deferrable} {
			trickle := *urgent
			trickle.Priority, trickle.Caller, trickle.Kind = priority, callerOf(streams, priority), "trickle"
			trickle.RatePerSecond, trickle.Timeout = urgent.RatePerSecond/4, time.Second
			streams = append(streams, &trickle)
		}
		for i, priority := range priorities {
			flooding := *urgent
			flooding.Priority, flooding.Caller, flooding.Kind = priority, callerOf(streams, priority), "flood"
			flooding.RatePerSecond = floodFactor * capacity
			flooding.StartAfter = time.Duration(0.25 * float64(i+1) * float64(duration))
			flooding.StopAfter = time.Duration(0.75 * float64(duration))
			streams = append(streams, &flooding)
		}
		return streams
	}
}

// callerOf returns a caller of the priority.
func callerOf(streams []*swlabload.Stream, priority swrule.Priority) string {
	for _, stream := range streams {
		if stream.Priority == priority {
			return stream.Caller
		}
	}
	return ""
}

func vmScenarios() []Scenario {
	rolling := Scenario{Name: "rolling-restart", Description: "all VMs are restarted one after another", Duration: 40 * time.Second}
	for number := range 9 {
		rolling.Events = append(rolling.Events, Event{0.05 + 0.1*float64(number), restart(number)})
	}
	return []Scenario{
		{Name: "vm-kill", Description: "a VM is killed and comes back, twice", Duration: long, Events: []Event{
			{0.20, kill(0, 0)}, {0.40, revive(0, 0)}, {0.60, kill(1, 1)}, {0.80, revive(1, 1)},
		}},
		rolling,
		{Name: "pause", Description: "a VM is paused past every timeout and wakes, twice", Duration: long, Events: []Event{
			{0.20, pause(0, 1, pauseFor)}, {0.30, changeRules}, {0.60, pause(2, 0, pauseFor)},
		}},
		{Name: "partition", Description: "a data centre is cut off from its peers, then from the platform too", Duration: 40 * time.Second, Events: []Event{
			{0.10, cutPeers(0, true)}, {0.20, changeRules}, {0.35, cannotLearn(0, 40*time.Second/5)}, {0.35, cutPlatform(0, true)},
			{0.40, changeRules}, {0.55, cutPlatform(0, false)}, {0.60, cutPeers(0, false)}, {0.75, changeRules},
		}},
		{Name: "storm", Description: "a straggler, silence, a repartition, a killed VM, a flood and an outage of the platform at once, twice",
			Duration: 45 * time.Second, ModifyStreams: flood(swrule.Deferrable), Events: []Event{
				{0.10, straggle(0, stragglerFactor)}, {0.12, changeRules}, {0.15, platformDown}, {0.16, kill(0, 0)}, {0.20, silence},
				{0.35, platformHealthy}, {0.36, revive(0, 0)}, {0.40, publish("s2", repartitioned)}, {0.50, retire("s1")}, {0.52, drop("s1")},
				{0.55, changeRules}, {0.60, platformDown}, {0.61, kill(1, 0)}, {0.62, silence}, {0.64, straggle(1, stragglerFactor)},
				{0.80, platformHealthy}, {0.81, revive(1, 0)},
			}},
	}
}

func platformScenarios() []Scenario {
	return []Scenario{
		{Name: "platform-down", Description: "the platform is down for long, then slow", Duration: long, Events: []Event{
			{0.10, changeRules}, {0.20, platformDown}, {0.20 + downFor, platformSlow}, {0.65, changeRules}, {0.85, platformHealthy},
		}},
		{Name: "lost-writes", Description: "answers of the platform's writes are lost after their effect", Duration: short, ModifyStreams: ownKeys, Events: []Event{
			{0.20, platformLoses}, {0.80, platformHealthy},
		}},
		{Name: "rule-race", Description: "rules change often, with watches silent and reads stale", Duration: long, Events: []Event{
			{0.10, changeRules}, {0.12, changeRules}, {0.14, changeRules}, {0.25, platformStale}, {0.27, changeRules},
			{0.40, platformHealthy}, {0.50, platformSilent}, {0.52, changeRules}, {0.75, platformHealthy}, {0.80, changeRules},
		}},
	}
}

// ownKeys makes callers use keys of their own for non-idempotent work.
func ownKeys(_ *swlabfleet.User, _ time.Duration, streams []*swlabload.Stream) []*swlabload.Stream {
	for _, stream := range streams {
		stream.CallerKeys = stream.NonIdempotent
	}
	return streams
}
