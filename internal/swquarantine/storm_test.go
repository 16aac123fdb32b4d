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
	stormSeed     = 20261204
	stormVMs      = 9
	stormReplicas = 3
	stormSlots    = 2
	stormSends    = 50
	sendEvery     = 200 * time.Millisecond
	serviceTime   = 20 * time.Millisecond
	crashAfter    = 5 * time.Millisecond
	restartTime   = 5 * time.Second
	gossipDelay   = 100 * time.Millisecond
	retries       = 2
)

// policy is how much of the register the VMs use.
type policy int

const (
	unprotected    policy = 0
	quarantineOnly policy = 1
	withCanary     policy = 2
)

func (policy policy) String() string {
	return [...]string{"unprotected", "quarantine", "quarantine+canary"}[policy]
}

// storm is a crashing request that is sent again and again over all VMs among healthy load.
type storm struct {
	policy    policy
	shards    int
	group     *swgroup.Group
	registers []*Tracker
	servers   []*stormServer
	// allUnique makes every healthy request one of its own.
	allUnique bool

	mutex  sync.Mutex
	random *rand.Rand
	result stormResult
}

// stormResult counts what came of it.
type stormResult struct {
	Deaths         int
	BadRefused     int
	Healthy        int
	HealthyLost    int
	HealthyRefused int
	// Accused is the number of healthy fingerprints in quarantine at the end.
	Accused int
}

func newStorm(policy policy, shards int, registers []*Tracker) *storm {
	storm := &storm{
		policy:    policy,
		shards:    shards,
		group:     swgroup.New(context.Background()),
		registers: registers,
		random:    rand.New(rand.NewPCG(stormSeed, 0)),
	}
	for i := range shards * stormReplicas {
		storm.servers = append(storm.servers, &stormServer{
			name:     fmt.Sprint("s", i),
			owner:    registers[i%len(registers)],
			slots:    make(chan struct{}, stormSlots),
			up:       true,
			inFlight: make(map[*uint64]struct{}),
			crashed:  make(chan struct{}),
		})
	}
	return storm
}

func (storm *storm) draw(bound int) int {
	storm.mutex.Lock()
	defer storm.mutex.Unlock()
	return storm.random.IntN(bound)
}

func (storm *storm) count(change func(result *stormResult)) {
	storm.mutex.Lock()
	defer storm.mutex.Unlock()
	change(&storm.result)
}

// run sends healthy load, and after a time the crashing request as well.
func (storm *storm) run(healthyPerSecond int) stormResult {
	const before = 2 * time.Second
	storm.group.Go(func(context.Context) { storm.load(healthyPerSecond, before+stormSends*sendEvery) })
	time.Sleep(before)
	for i := range stormSends {
		storm.group.Go(func(context.Context) {
			_, refused := storm.query(storm.registers[i%stormVMs], bad)
			storm.count(func(result *stormResult) {
				if refused {
					result.BadRefused++
				}
			})
		})
		time.Sleep(sendEvery)
	}
	storm.group.Wait()
	return storm.summary()
}

// load sends healthy requests, of which four of five are one of fifty popular ones unless all are unique.
func (storm *storm) load(perSecond int, length time.Duration) {
	for i := range int(time.Duration(perSecond) * length / time.Second) {
		fingerprint := uint64(1<<32 + i)
		if !storm.allUnique && storm.draw(5) > 0 {
			fingerprint = uint64(1<<40 + storm.draw(50))
		}
		storm.group.Go(func(context.Context) { storm.healthy(fingerprint) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

func (storm *storm) summary() stormResult {
	for _, suspect := range storm.registers[0].Suspects() {
		if suspect.Quarantined && suspect.Fingerprint != FormatFingerprint(bad) {
			storm.result.Accused++
		}
	}
	return storm.result
}

func (storm *storm) healthy(fingerprint uint64) {
	whole, refused := storm.query(storm.registers[storm.draw(stormVMs)], fingerprint)
	storm.count(func(result *stormResult) {
		result.Healthy++
		if refused {
			result.HealthyRefused++
		}
		if !whole && !refused {
			result.HealthyLost++
		}
	})
}

// query runs one query as a root does.
func (storm *storm) query(root *Tracker, fingerprint uint64) (whole, refused bool) {
	verdict := Allowed
	if storm.policy != unprotected {
		verdict = root.Check(fingerprint, false)
	}
	if verdict == Refused {
		return false, true
	}
	if verdict == Canary && storm.policy == withCanary && storm.shard(root, fingerprint, storm.draw(storm.shards)) != answered {
		return false, false
	}
	whole = storm.fanOut(root, fingerprint)
	if whole {
		root.RecordCompletion(fingerprint)
	}
	return whole, false
}

// fanOut runs a query at all shards. Parts that were held back after a crash are sent again once another shard answered.
func (storm *storm) fanOut(root *Tracker, fingerprint uint64) (whole bool) {
	type part struct {
		shard   int
		outcome outcome
	}
	parts := make(chan part, storm.shards)
	send := func(shard int) {
		storm.group.Go(func(context.Context) { parts <- part{shard, storm.shard(root, fingerprint, shard)} })
	}
	for shard := range storm.shards {
		send(shard)
	}
	var held []int
	anyAnswered, failed := false, false
	for waiting := storm.shards; waiting > 0; waiting-- {
		part := <-parts
		anyAnswered = anyAnswered || part.outcome == answered
		failed = failed || part.outcome == lost
		if part.outcome == heldBack {
			held = append(held, part.shard)
		}
		if !anyAnswered {
			continue
		}
		for _, shard := range held {
			send(shard)
			waiting++
		}
		held = nil
	}
	return !failed && len(held) == 0
}

// outcome is what came of a query's part.
type outcome int

const (
	answered outcome = 0
	lost     outcome = 1
	// heldBack parts crashed a server, or were in flight when one died, before any server answered the query.
	heldBack outcome = 2
)

// shard runs a query's part on live replicas of one shard, sending it again after a crash where that is allowed.
func (storm *storm) shard(root *Tracker, fingerprint uint64, shard int) outcome {
	for range 1 + retries {
		server := storm.replica(shard)
		if server == nil {
			return lost
		}
		if server.serve(storm, fingerprint) {
			root.RecordAnswer(fingerprint)
			return answered
		}
		if storm.policy != unprotected && !root.MayRetryAfterCrash(fingerprint) {
			return heldBack
		}
	}
	return lost
}

func (storm *storm) replica(shard int) *stormServer {
	first := storm.draw(stormReplicas)
	for i := range stormReplicas {
		server := storm.servers[shard*stormReplicas+(first+i)%stormReplicas]
		if server.isUp() {
			return server
		}
	}
	return nil
}

func TestCrashingRequestSentOverAllVMsAmongHealthyLoad(t *testing.T) {
	const shards = 10
	synctest.Test(t, func(t *testing.T) {
		registers := newRegisters(&fakeBoards{delay: gossipDelay}, stormVMs)
		result := newStorm(withCanary, shards, registers).run(100)
		check(t, "no server dies after the first fan-out", true, result.Deaths <= shards)
		check(t, "every resend is refused", stormSends-1, result.BadRefused)
		check(t, "healthy requests refused", 0, result.HealthyRefused)
		check(t, "healthy fingerprints in quarantine", 0, result.Accused)
	})
}

func TestCrashingRequestWhileACrashIsRecentReachesNoFanOut(t *testing.T) {
	const shards = 10
	result := measure(t, withCanary, shards, 100, true)
	check(t, "one server a send at most", true, result.Deaths <= stormSends-result.BadRefused)
	check(t, "fewer servers than one fan-out", true, result.Deaths < shards)
	check(t, "healthy fingerprints in quarantine", 0, result.Accused)
}

func TestTwoCanariesDieWhereNothingElseRuns(t *testing.T) {
	result := measure(t, withCanary, 10, 0, true)
	check(t, "servers that died", 2, result.Deaths)
	check(t, "sends refused", stormSends-2, result.BadRefused)
}

func TestServersThatDieByThemselvesQuarantineNothing(t *testing.T) {
	const deaths, every = 30, time.Second
	for _, unique := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			storm := newStorm(withCanary, 10, newRegisters(&fakeBoards{delay: gossipDelay}, stormVMs))
			storm.allUnique = unique
			storm.group.Go(func(context.Context) {
				for range deaths {
					time.Sleep(every)
					storm.dieAlone()
				}
			})
			storm.load(100, deaths*every)
			storm.group.Wait()
			result := storm.summary()
			t.Logf("unique=%t: %+v", unique, result)
			check(t, "healthy fingerprints in quarantine", 0, result.Accused)
			check(t, "healthy requests refused", 0, result.HealthyRefused)
		})
	}
}

// TestLossesByPolicy logs the losses to a crashing request that is sent 50 times; docs/measurements/keys.md has them.
func TestLossesByPolicy(t *testing.T) {
	cases := []struct {
		shards  int
		healthy int
		recent  bool
	}{{10, 100, false}, {10, 100, true}, {450, 5, false}, {450, 5, true}}
	for _, size := range cases {
		if testing.Short() && size.shards > 10 {
			continue
		}
		var deaths [3]int
		for _, policy := range []policy{unprotected, quarantineOnly, withCanary} {
			result := measure(t, policy, size.shards, size.healthy, size.recent)
			deaths[policy] = result.Deaths
			t.Logf("shards=%d recent=%t %s: %+v", size.shards, size.recent, policy, result)
			check(t, "healthy fingerprints in quarantine", 0, result.Accused)
		}
		check(t, "quarantine loses fewer servers", true, deaths[quarantineOnly] < deaths[unprotected])
		check(t, "a canary loses no more", true, deaths[withCanary] <= deaths[quarantineOnly])
	}
}

func measure(t *testing.T, policy policy, shards, healthy int, recent bool) stormResult {
	var result stormResult
	synctest.Test(t, func(*testing.T) {
		registers := newRegisters(&fakeBoards{delay: gossipDelay}, stormVMs)
		if recent {
			registers[0].RecordCrash("another", []uint64{1})
			time.Sleep(time.Second)
		}
		result = newStorm(policy, shards, registers).run(healthy)
	})
	return result
}
