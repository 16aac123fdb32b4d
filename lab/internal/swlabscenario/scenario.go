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
	// shortDuration and longDuration are the durations of most scenarios.
	shortDuration = 15 * time.Second
	longDuration  = 30 * time.Second
	// floodFactor is the rate of a flood, as a multiple of the rate that the urgent index can serve.
	floodFactor = 3
	// crasherRate is the rate of requests that crash servers, per second, and maxCrasherResends how often the caller sends
	// each of them again.
	crasherRate       = 1
	maxCrasherResends = 3
	// vmPauseDuration is how long a VM is paused. It exceeds the timeouts of all requests.
	vmPauseDuration = 5 * time.Second
)

// All returns every scenario.
func All() []Scenario {
	return slices.Concat(indexScenarios(), serverScenarios(), floodScenarios(), vmScenarios(), platformScenarios())
}

func indexScenarios() []Scenario {
	return []Scenario{
		{Name: "calm", Description: "usual load without faults", Duration: shortDuration},
		{Name: "cutover", Description: "snapshots are published, retired and dropped under load, twice",
			Duration: shortDuration, Events: []Event{
				{0.20, publishSnapshot("s2", 0)}, {0.35, retireSnapshot("s1")}, {0.40, dropSnapshot("s1")},
				{0.60, publishSnapshot("s3", 0)}, {0.75, retireSnapshot("s2")}, {0.76, dropSnapshot("s2")},
			}},
		{Name: "repartition", Description: "the number of shards of an index grows from ten to twelve under load",
			Duration: shortDuration, Events: []Event{
				{0.30, publishSnapshot("s2", repartitionedShards)}, {0.50, retireSnapshot("s1")}, {0.60, dropSnapshot("s1")},
			}},
		{Name: "crossed", Description: "backend servers answer with the response to another request, from another snapshot, or twice, or fail requests like refused ones",
			Duration: shortDuration, Events: []Event{
				{0.10, publishSnapshot("s2", 0)}, {0.20, sendWrongAnswers(wrongAnswerChance)}, {0.80, sendWrongAnswers(0)},
			}},
	}
}

func serverScenarios() []Scenario {
	return []Scenario{
		{Name: "straggler", Description: "one replica is twenty times slower and reports that it is idle",
			Duration: shortDuration, Events: []Event{
				{0.20, slowReplica(0, stragglerFactor)}, {0.80, slowReplica(0, 1)},
			}},
		{Name: "silent", Description: "all open connections to backend servers become unresponsive, twice",
			Duration: shortDuration, Events: []Event{
				{0.30, makeUnresponsive}, {0.60, makeUnresponsive},
			}},
		{Name: "replica-loss", Description: "all replicas of a data centre go down, and later all replicas of one shard",
			Duration: longDuration, Events: []Event{
				{0.20, takeDownServers(inFirstDataCentre)}, {0.45, bringUpServers(inFirstDataCentre)},
				{0.60, takeDownServers(inFirstShard)}, {0.75, bringUpServers(inFirstShard)},
			}},
		{Name: "cold-start", Description: "a third of the servers of an index start to warm up at the same time",
			Duration: shortDuration, Events: []Event{
				{0.30, func(_ context.Context, harness *Harness) error {
					harness.forEachServer(harness.urgentIndex(), func(server *swlabbackend.Server) {
						if inFirstDataCentre(harness, server) {
							server.RestartWarmUp()
						}
					})
					return nil
				}},
			}},
		{Name: "drain", Description: "backend servers leave, one of them without an entry in the platform's lists",
			Duration: longDuration, Events: []Event{
				{0.20, startLeaving(0, false)}, {0.40, startLeaving(1, true)}, {0.60, startLeaving(2, true)},
			}},
		{Name: "crasher", Description: "a request crashes each backend server that runs it, and its caller resends it",
			Duration: longDuration, ModifyStreams: addCrasher},
	}
}

// addCrasher adds a stream of identical requests that crash servers.
func addCrasher(_ *swlabfleet.User, _ time.Duration, streams []*swlabload.Stream) []*swlabload.Stream {
	crasher := *streams[0]
	crasher.Kind, crasher.RatePerSecond, crasher.MaxResends, crasher.NonIdempotent, crasher.Untagged =
		"crasher", crasherRate, maxCrasherResends, false, true
	crasher.Queries = []string{"kit crash:lab"}
	return append(streams, &crasher)
}

func floodScenarios() []Scenario {
	return []Scenario{
		{Name: "flood-deferrable", Description: "a flood of deferrable work on the index of the urgent work",
			Duration: longDuration, ModifyStreams: addFloods(swrule.Deferrable)},
		{Name: "flood-urgent", Description: "a flood of urgent work, with other work on the same index",
			Duration: longDuration, ModifyStreams: addFloods(swrule.Urgent)},
		{Name: "flood-both", Description: "a flood of deferrable work, joined later by a flood of urgent work",
			Duration: longDuration, ModifyStreams: addFloods(swrule.Deferrable, swrule.Urgent)},
	}
}

// addFloods adds a flood of each priority on the urgent index. The floods start one after another and end together. It also
// adds a low rate of standard and deferrable work on the same index, to show the service that other work still gets.
func addFloods(priorities ...swrule.Priority) func(*swlabfleet.User, time.Duration, []*swlabload.Stream) []*swlabload.Stream {
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

// callerOf returns the first caller with a stream of the given priority, or an empty string.
func callerOf(streams []*swlabload.Stream, priority swrule.Priority) string {
	for _, stream := range streams {
		if stream.Priority == priority {
			return stream.Caller
		}
	}
	return ""
}

func vmScenarios() []Scenario {
	rolling := Scenario{Name: "rolling-restart", Description: "all VMs are restarted gracefully, one after another",
		Duration: 40 * time.Second}
	for number := range 9 {
		rolling.Events = append(rolling.Events, Event{0.05 + 0.1*float64(number), restartVM(number)})
	}
	return []Scenario{
		{Name: "vm-kill", Description: "a VM is killed and started again, twice", Duration: longDuration, Events: []Event{
			{0.20, killVM(0, 0)}, {0.40, startVM(0, 0)}, {0.60, killVM(1, 1)}, {0.80, startVM(1, 1)},
		}},
		rolling,
		{Name: "pause", Description: "a VM is paused for longer than every timeout and resumed, twice",
			Duration: longDuration, Events: []Event{
				{0.20, pauseVM(0, 1, vmPauseDuration)}, {0.30, changeRules}, {0.60, pauseVM(2, 0, vmPauseDuration)},
			}},
		{Name: "partition", Description: "a data centre is partitioned from the others, then also from the platform",
			Duration: 40 * time.Second, Events: []Event{
				{0.10, setPeerPartition(0, true)}, {0.20, changeRules},
				{0.35, markRulesUnreachable(0, 40*time.Second/5)}, {0.35, setPlatformPartition(0, true)},
				{0.40, changeRules}, {0.55, setPlatformPartition(0, false)},
				{0.60, setPeerPartition(0, false)}, {0.75, changeRules},
			}},
		{Name: "storm", Description: "a slow replica, unresponsive connections, a repartition, a killed VM, a flood and a platform outage at once, twice",
			Duration: 45 * time.Second, ModifyStreams: addFloods(swrule.Deferrable), Events: []Event{
				{0.10, slowReplica(0, stragglerFactor)}, {0.12, changeRules}, {0.15, platformDown},
				{0.16, killVM(0, 0)}, {0.20, makeUnresponsive},
				{0.35, platformHealthy}, {0.36, startVM(0, 0)}, {0.40, publishSnapshot("s2", repartitionedShards)},
				{0.50, retireSnapshot("s1")}, {0.52, dropSnapshot("s1")},
				{0.55, changeRules}, {0.60, platformDown}, {0.61, killVM(1, 0)},
				{0.62, makeUnresponsive}, {0.64, slowReplica(1, stragglerFactor)},
				{0.80, platformHealthy}, {0.81, startVM(1, 0)},
			}},
	}
}

func platformScenarios() []Scenario {
	return []Scenario{
		{Name: "platform-down", Description: "the platform is down for a long time, then slow",
			Duration: longDuration, Events: []Event{
				{0.10, changeRules}, {0.20, platformDown}, {0.20 + platformDownFraction, platformSlow},
				{0.65, changeRules}, {0.85, platformHealthy},
			}},
		{Name: "lost-writes", Description: "the platform's responses to writes are lost after the writes took effect",
			Duration: shortDuration, ModifyStreams: useCallerKeys, Events: []Event{
				{0.20, platformLosesAnswers}, {0.80, platformHealthy},
			}},
		{Name: "rule-race", Description: "rules change often while watches get no response and reads are stale",
			Duration: longDuration, Events: []Event{
				{0.10, changeRules}, {0.12, changeRules}, {0.14, changeRules}, {0.25, platformStale}, {0.27, changeRules},
				{0.40, platformHealthy}, {0.50, platformUnresponsive}, {0.52, changeRules},
				{0.75, platformHealthy}, {0.80, changeRules},
			}},
	}
}

// useCallerKeys makes callers choose the keys for non-idempotent work themselves.
func useCallerKeys(_ *swlabfleet.User, _ time.Duration, streams []*swlabload.Stream) []*swlabload.Stream {
	for _, stream := range streams {
		stream.CallerKeys = stream.NonIdempotent
	}
	return streams
}
