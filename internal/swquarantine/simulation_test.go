package swquarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

const (
	simulationSeed    = 20261204
	simulatedVMs      = 9
	simulatedReplicas = 3
	slotsPerServer    = 2
	crashingSends     = 50
	sendInterval      = 200 * time.Millisecond
	serviceTime       = 20 * time.Millisecond
	crashDelay        = 5 * time.Millisecond
	restartTime       = 5 * time.Second
	gossipDelay       = 100 * time.Millisecond
	maxRetries        = 2
)

// policy is the set of a Tracker's protections that the VMs use.
type policy int

const (
	unprotected    policy = 0
	quarantineOnly policy = 1
	withCanary     policy = 2
)

func (policy policy) String() string {
	return [...]string{"unprotected", "quarantine", "quarantine+canary"}[policy]
}

// simulation sends a crashing request repeatedly through all VMs, together with healthy requests.
type simulation struct {
	policy   policy
	shards   int
	group    *swgroup.Group
	trackers []*Tracker
	servers  []*simulatedServer
	// allUnique gives every healthy request its own fingerprint.
	allUnique bool

	mutex  sync.Mutex
	random *rand.Rand
	result simulationResult
}

// simulationResult counts crashed servers and the results of requests.
type simulationResult struct {
	Deaths         int
	BadRefused     int
	Healthy        int
	HealthyLost    int
	HealthyRefused int
	// Accused is the number of healthy fingerprints that are quarantined at the end.
	Accused int
}

func newSimulation(policy policy, shards int, trackers []*Tracker) *simulation {
	simulation := &simulation{
		policy:   policy,
		shards:   shards,
		group:    swgroup.New(context.Background()),
		trackers: trackers,
		random:   rand.New(rand.NewPCG(simulationSeed, 0)),
	}
	for i := range shards * simulatedReplicas {
		simulation.servers = append(simulation.servers, &simulatedServer{
			name:     fmt.Sprint("s", i),
			tracker:  trackers[i%len(trackers)],
			slots:    make(chan struct{}, slotsPerServer),
			up:       true,
			inFlight: make(map[*uint64]struct{}),
			crashed:  make(chan struct{}),
		})
	}
	return simulation
}

func (simulation *simulation) randomInt(bound int) int {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return simulation.random.IntN(bound)
}

func (simulation *simulation) count(change func(result *simulationResult)) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	change(&simulation.result)
}

// run sends healthy requests and, after two seconds, the crashing request as well.
func (simulation *simulation) run(healthyPerSecond int) simulationResult {
	const before = 2 * time.Second
	simulation.group.Go(func(context.Context) { simulation.sendHealthy(healthyPerSecond, before+crashingSends*sendInterval) })
	time.Sleep(before)
	for i := range crashingSends {
		simulation.group.Go(func(context.Context) {
			_, refused := simulation.query(simulation.trackers[i%simulatedVMs], crashing)
			simulation.count(func(result *simulationResult) {
				if refused {
					result.BadRefused++
				}
			})
		})
		time.Sleep(sendInterval)
	}
	simulation.group.Wait()
	return simulation.summary()
}

// sendHealthy sends healthy requests. Unless all are unique, four in five have one of fifty common fingerprints.
func (simulation *simulation) sendHealthy(perSecond int, length time.Duration) {
	for i := range int(time.Duration(perSecond) * length / time.Second) {
		fingerprint := uint64(1<<32 + i)
		if !simulation.allUnique && simulation.randomInt(5) > 0 {
			fingerprint = uint64(1<<40 + simulation.randomInt(50))
		}
		simulation.group.Go(func(context.Context) { simulation.sendOneHealthy(fingerprint) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

func (simulation *simulation) summary() simulationResult {
	for _, suspect := range simulation.trackers[0].Suspects() {
		if suspect.Quarantined && suspect.Fingerprint != FormatFingerprint(crashing) {
			simulation.result.Accused++
		}
	}
	return simulation.result
}

func (simulation *simulation) sendOneHealthy(fingerprint uint64) {
	complete, refused := simulation.query(simulation.trackers[simulation.randomInt(simulatedVMs)], fingerprint)
	simulation.count(func(result *simulationResult) {
		result.Healthy++
		if refused {
			result.HealthyRefused++
		}
		if !complete && !refused {
			result.HealthyLost++
		}
	})
}

// query runs one query as its root does and reports whether all shards answered or the query was refused.
func (simulation *simulation) query(root *Tracker, fingerprint uint64) (complete, refused bool) {
	verdict := Allowed
	if simulation.policy != unprotected {
		verdict = root.Check(fingerprint, false)
	}
	if verdict == Refused {
		return false, true
	}
	if verdict == Canary && simulation.policy == withCanary && simulation.queryShard(root, fingerprint, simulation.randomInt(simulation.shards)) != answered {
		return false, false
	}
	complete = simulation.fanOut(root, fingerprint)
	if complete {
		root.RecordCompletion(fingerprint)
	}
	return complete, false
}

// fanOut runs a query at all shards. A sub-request that was deferred after a crash is sent again once a shard has answered.
func (simulation *simulation) fanOut(root *Tracker, fingerprint uint64) (complete bool) {
	type part struct {
		shard   int
		outcome outcome
	}
	parts := make(chan part, simulation.shards)
	send := func(shard int) {
		simulation.group.Go(func(context.Context) { parts <- part{shard, simulation.queryShard(root, fingerprint, shard)} })
	}
	for shard := range simulation.shards {
		send(shard)
	}
	var waitingShards []int
	anyAnswered, anyLost := false, false
	for waiting := simulation.shards; waiting > 0; waiting-- {
		part := <-parts
		anyAnswered = anyAnswered || part.outcome == answered
		anyLost = anyLost || part.outcome == lost
		if part.outcome == deferred {
			waitingShards = append(waitingShards, part.shard)
		}
		if !anyAnswered {
			continue
		}
		for _, shard := range waitingShards {
			send(shard)
			waiting++
		}
		waitingShards = nil
	}
	return !anyLost && len(waitingShards) == 0
}

// outcome is the outcome of a query at one shard.
type outcome int

const (
	answered outcome = 0
	lost     outcome = 1
	// deferred means that the server crashed and the query may not be retried until a shard has answered it.
	deferred outcome = 2
)

// queryShard runs a query on the live replicas of one shard and retries it after a crash if that is allowed.
func (simulation *simulation) queryShard(root *Tracker, fingerprint uint64, shard int) outcome {
	for range 1 + maxRetries {
		server := simulation.pickReplica(shard)
		if server == nil {
			return lost
		}
		if server.run(simulation, fingerprint) {
			root.RecordAnswer(fingerprint)
			return answered
		}
		if simulation.policy != unprotected && !root.MayRetryAfterCrash(fingerprint) {
			return deferred
		}
	}
	return lost
}

func (simulation *simulation) pickReplica(shard int) *simulatedServer {
	first := simulation.randomInt(simulatedReplicas)
	for i := range simulatedReplicas {
		server := simulation.servers[shard*simulatedReplicas+(first+i)%simulatedReplicas]
		if server.isUp() {
			return server
		}
	}
	return nil
}

func TestCrashingRequestIsQuarantinedUnderHealthyLoad(t *testing.T) {
	const shards = 10
	synctest.Test(t, func(t *testing.T) {
		trackers := newTrackers(&fakeStores{delay: gossipDelay}, simulatedVMs)
		result := newSimulation(withCanary, shards, trackers).run(100)
		check(t, "no server crashes after the first fan-out", true, result.Deaths <= shards)
		check(t, "every resend is refused", crashingSends-1, result.BadRefused)
		check(t, "healthy requests refused", 0, result.HealthyRefused)
		check(t, "healthy fingerprints in quarantine", 0, result.Accused)
	})
}

func TestCrashingRequestAfterRecentCrashRunsAsCanaryOnly(t *testing.T) {
	const shards = 10
	result := simulate(t, withCanary, shards, 100, true)
	check(t, "at most one crashed server per send", true, result.Deaths <= crashingSends-result.BadRefused)
	check(t, "fewer crashed servers than one fan-out has", true, result.Deaths < shards)
	check(t, "healthy fingerprints in quarantine", 0, result.Accused)
}

func TestTwoCanaryCrashesQuarantineWithoutOtherLoad(t *testing.T) {
	result := simulate(t, withCanary, 10, 0, true)
	check(t, "crashed servers", 2, result.Deaths)
	check(t, "sends refused", crashingSends-2, result.BadRefused)
}

func TestServerFaultsDoNotQuarantineHealthyRequests(t *testing.T) {
	const crashes, every = 30, time.Second
	for _, unique := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			simulation := newSimulation(withCanary, 10, newTrackers(&fakeStores{delay: gossipDelay}, simulatedVMs))
			simulation.allUnique = unique
			simulation.group.Go(func(context.Context) {
				for range crashes {
					time.Sleep(every)
					simulation.crashOneServer()
				}
			})
			simulation.sendHealthy(100, crashes*every)
			simulation.group.Wait()
			result := simulation.summary()
			t.Logf("unique=%t: %+v", unique, result)
			check(t, "healthy fingerprints in quarantine", 0, result.Accused)
			check(t, "healthy requests refused", 0, result.HealthyRefused)
		})
	}
}

// TestCrashesByPolicy logs the servers that a request sent 50 times crashes. The results are in docs/measurements/keys.md.
func TestCrashesByPolicy(t *testing.T) {
	cases := []struct {
		shards  int
		healthy int
		recent  bool
	}{{10, 100, false}, {10, 100, true}, {450, 5, false}, {450, 5, true}}
	for _, size := range cases {
		if testing.Short() && size.shards > 10 {
			continue
		}
		var crashes [3]int
		for _, policy := range []policy{unprotected, quarantineOnly, withCanary} {
			result := simulate(t, policy, size.shards, size.healthy, size.recent)
			crashes[policy] = result.Deaths
			t.Logf("shards=%d recent=%t %s: %+v", size.shards, size.recent, policy, result)
			check(t, "healthy fingerprints in quarantine", 0, result.Accused)
		}
		check(t, "quarantine crashes fewer servers", true, crashes[quarantineOnly] < crashes[unprotected])
		check(t, "a canary crashes no more servers", true, crashes[withCanary] <= crashes[quarantineOnly])
	}
}

func simulate(t *testing.T, policy policy, shards, healthy int, recent bool) simulationResult {
	var result simulationResult
	synctest.Test(t, func(*testing.T) {
		trackers := newTrackers(&fakeStores{delay: gossipDelay}, simulatedVMs)
		if recent {
			trackers[0].RecordCrash("another", []uint64{1})
			time.Sleep(time.Second)
		}
		result = newSimulation(policy, shards, trackers).run(healthy)
	})
	return result
}
