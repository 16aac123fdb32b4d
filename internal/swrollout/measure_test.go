//go:build measure

package swrollout

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// Overhead of swpeer in addition to the encoded messages, as printed by TestMeasureWire of internal/swmember: bytes in both
// directions, including headers.
const (
	callOverhead      = 278
	handshakeOverhead = 17600
	idleTimeout       = time.Minute
)

// Rates of restarts and rule changes that the system must sustain with 1,400 VMs.
const (
	targetVMs       = 1400
	restartsADay    = 890 + 12
	ruleChangesADay = 1600
	day             = 24 * time.Hour
)

type size struct {
	vms, dataCentres int
}

// sizes returns the fleets to measure. The environment variable SIZES can select some of them by the number of VMs.
func sizes() []size {
	all := []size{{9, 3}, {67, 3}, {300, 5}, {1400, 21}}
	chosen := os.Getenv("SIZES")
	if chosen == "" {
		return all
	}
	return slices.DeleteFunc(all, func(size size) bool {
		return !slices.Contains(strings.Split(chosen, ","), strconv.Itoa(size.vms))
	})
}

// traffic counts bytes by VM and calls by method.
type traffic struct {
	mutex   sync.Mutex
	bytes   map[string]int
	methods map[swpeer.Method]int
	used    map[[2]netip.AddrPort]time.Time
	// nearHandshakes and farHandshakes count the connections opened inside a data centre and between data centres.
	nearHandshakes, farHandshakes int
}

func (traffic *traffic) reset() {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.bytes = make(map[string]int)
	traffic.methods = make(map[swpeer.Method]int)
	traffic.nearHandshakes, traffic.farHandshakes = 0, 0
	if traffic.used == nil {
		traffic.used = make(map[[2]netip.AddrPort]time.Time)
	}
}

func (traffic *traffic) count(from, to *vm, method swpeer.Method, request, reply int) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	cost := request + reply + callOverhead
	pair := [2]netip.AddrPort{from.self.Peer, to.self.Peer}
	if last, ok := traffic.used[pair]; !ok || time.Since(last) > idleTimeout {
		if from.self.DataCentre == to.self.DataCentre {
			traffic.nearHandshakes++
		} else {
			traffic.farHandshakes++
			cost += handshakeOverhead
		}
	}
	traffic.used[pair] = time.Now()
	traffic.bytes[from.self.Name] += cost
	traffic.bytes[to.self.Name] += cost
	traffic.methods[method]++
}

// print logs the mean and the maximum traffic per VM, sent and received together.
func (traffic *traffic) print(t *testing.T, what string, vms int, elapsed, processor time.Duration) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	total, most := 0, 0
	for _, bytes := range traffic.bytes {
		total += bytes
		most = max(most, bytes)
	}
	seconds := elapsed.Seconds()
	calls := ""
	for _, method := range []swpeer.Method{swpeer.MethodProbe, swpeer.MethodProbeVia, swpeer.MethodGossip, swpeer.MethodFetch, swpeer.MethodReport} {
		calls += fmt.Sprintf(" %d:%.4f", method, float64(traffic.methods[method])/seconds/float64(vms))
	}
	t.Logf("%s: %d VMs: %.0f B/s a VM, %.0f B/s at the busiest; handshakes/s a VM %.4f near (not in the bytes: data connections serve; without them %.0f B/s a VM more) and %.4f far; calls/s a VM by method%s; %.4f %% of a core a VM without QUIC",
		what, vms, float64(total)/seconds/float64(vms), float64(most)/seconds,
		float64(traffic.nearHandshakes)/seconds/float64(vms),
		2*handshakeOverhead*float64(traffic.nearHandshakes)/seconds/float64(vms),
		float64(traffic.farHandshakes)/seconds/float64(vms), calls, 100*processor.Seconds()/seconds/float64(vms))
}

// startConnected starts VMs that all know each other from the platform's list.
func (fleet *fleet) startConnected(size size) []*vm {
	var list []swmember.VM
	for number := range size.vms {
		self := member(number, size.dataCentres, 0)
		list = append(list, swmember.VM{
			Name: self.Name, Region: self.Region, DataCentre: self.DataCentre, Peer: self.Peer, Caller: self.Caller,
		})
		fleet.platform.vms = append(fleet.platform.vms, swplatform.VM{
			Name: self.Name, Role: swplatform.RoleEntry, DataCentre: self.DataCentre, Region: self.Region,
			Peer: self.Peer, Caller: self.Caller, State: swplatform.StateLive,
		})
	}
	var vms []*vm
	for number := range size.vms {
		started := fleet.start(member(number, size.dataCentres, 0))
		started.directory.MergeVMs(fleet.t.Context(), "", list)
		vms = append(vms, started)
	}
	return vms
}

// TestMeasureControl prints the traffic, processor time and memory per VM and the calls of the platform, first without
// changes, and then with the target rates of restarts and rule changes for the fleet's size.
func TestMeasureControl(t *testing.T) {
	const span = 10 * time.Minute
	for _, size := range sizes() {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(t)
			defer fleet.stopAll()
			traffic := &traffic{}
			traffic.reset()
			fleet.onCall = traffic.count
			fleet.platform.put(KindRules, RulesName, "1")
			before := heap()
			vms := fleet.startConnected(size)
			time.Sleep(2 * time.Minute)
			memory := heap() - before
			t.Logf("%d VMs: %.2f MB of heap a VM", size.vms, float64(memory)/float64(size.vms)/(1<<20))

			traffic.reset()
			fleet.platform.takeCalls()
			start := processorTime()
			time.Sleep(span)
			traffic.print(t, "calm", size.vms, span, processorTime()-start)
			t.Logf("calm: platform calls/s %v", perSecond(fleet.platform.takeCalls(), span))

			traffic.reset()
			start = processorTime()
			fleet.churn(vms, size, span)
			traffic.print(t, "with changes", size.vms, span, processorTime()-start)
			t.Logf("with changes: platform calls/s %v", perSecond(fleet.platform.takeCalls(), span))
		})
	}
}

// churn restarts VMs and changes the rules at the target rates.
func (fleet *fleet) churn(vms []*vm, size size, span time.Duration) {
	random := rand.New(rand.NewPCG(1, 1))
	end := time.Now().Add(span)
	ruleEvery := day / ruleChangesADay
	restartEvery := day / restartsADay * targetVMs / time.Duration(size.vms)
	nextRule, nextRestart := time.Now().Add(ruleEvery), time.Now().Add(restartEvery)
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		if time.Now().After(nextRule) {
			nextRule = nextRule.Add(ruleEvery)
			fleet.platform.put(KindRules, RulesName, ruleText(random))
		}
		if time.Now().After(nextRestart) {
			nextRestart = nextRestart.Add(restartEvery)
			number := random.IntN(len(vms))
			fleet.restart(vms, number, size.dataCentres)
		}
	}
}

// ruleText returns a rule file of 250 lines.
func ruleText(random *rand.Rand) string {
	var text strings.Builder
	for range 250 {
		fmt.Fprintf(&text, "pass   Caller=service-%d Kind=kind-%d Priority=%s InFlight=%d   # team %d, case %d\n",
			random.IntN(400), random.IntN(40), []string{"Urgent", "Standard", "Deferrable"}[random.IntN(3)],
			random.IntN(200), random.IntN(60), random.IntN(100000))
	}
	return text.String()
}

func (fleet *fleet) restart(vms []*vm, number, dataCentres int) {
	old := vms[number]
	old.directory.AnnounceLeaving(fleet.t.Context())
	time.Sleep(time.Second)
	old.directory.AnnounceDead(fleet.t.Context())
	old.stop()
	seed := vms[(number+dataCentres)%len(vms)].self.Peer
	vms[number] = fleet.start(member(number, dataCentres, old.directory.View().Self.Incarnation+1), seed)
}

// TestMeasureInForce prints how long a new version takes until it is in force at every VM.
func TestMeasureInForce(t *testing.T) {
	const rounds = 10
	for _, size := range sizes() {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(t)
			defer fleet.stopAll()
			fleet.platform.put(KindRules, RulesName, "1")
			vms := fleet.startConnected(size)
			time.Sleep(time.Minute)
			var watched, gossiped []time.Duration
			for range rounds {
				version := fleet.platform.put(KindRules, RulesName, "x")
				watched = append(watched, fleet.measureInForce(vms, version)...)
				time.Sleep(20 * time.Second)
			}
			printDelays(t, "by watch", size, watched)
			fleet.platform.change(func() { fleet.platform.down = true })
			version := vms[0].version()
			for round := range rounds {
				version++
				first := vms[round*len(vms)/rounds]
				if _, err := first.store.Apply(Document{Kind: KindRules, Name: RulesName, Version: version, Value: []byte("y")}); err != nil {
					t.Fatal(err)
				}
				gossiped = append(gossiped, fleet.measureInForce(vms, version)...)
				time.Sleep(20 * time.Second)
			}
			printDelays(t, "platform down, one VM knowing", size, gossiped)
		})
	}
}

// TestMeasureDeath prints the time until the other VMs of the data centre send no new work to a VM that failed, and the time
// until no VM does.
func TestMeasureDeath(t *testing.T) {
	const rounds = 5
	for _, size := range sizes() {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(t)
			defer fleet.stopAll()
			fleet.platform.put(KindRules, RulesName, "1")
			vms := fleet.startConnected(size)
			time.Sleep(2 * time.Minute)
			var near, all []time.Duration
			for range rounds {
				killed := vms[len(vms)-1]
				vms = vms[:len(vms)-1]
				killed.stop()
				nearest, everywhere := fleet.measureNoNewWork(vms, killed)
				near, all = append(near, nearest...), append(all, everywhere...)
				time.Sleep(20 * time.Second)
			}
			printDelays(t, "no new work from the same data centre", size, near)
			printDelays(t, "no new work from any VM", size, all)
		})
	}
}

// measureNoNewWork returns when each VM no longer had a failed member as alive, for the VMs of its data centre and for all.
func (fleet *fleet) measureNoNewWork(vms []*vm, killed *vm) (near, all []time.Duration) {
	start := time.Now()
	waiting := slices.Clone(vms)
	for len(waiting) > 0 && time.Since(start) < time.Minute {
		time.Sleep(10 * time.Millisecond)
		waiting = slices.DeleteFunc(waiting, func(vm *vm) bool {
			if member, ok := vm.directory.View().Member(killed.self.Name); ok && member.State == swmember.Alive {
				return false
			}
			if vm.self.DataCentre == killed.self.DataCentre {
				near = append(near, time.Since(start))
			}
			all = append(all, time.Since(start))
			return true
		})
	}
	if len(waiting) > 0 {
		fleet.t.Errorf("%d VMs still send work to a dead VM after a minute", len(waiting))
	}
	return near, all
}

// measureInForce returns the times from now until each VM has a version in force.
func (fleet *fleet) measureInForce(vms []*vm, version uint64) []time.Duration {
	start := time.Now()
	var delays []time.Duration
	waiting := slices.Clone(vms)
	for len(waiting) > 0 && time.Since(start) < time.Minute {
		time.Sleep(time.Millisecond)
		waiting = slices.DeleteFunc(waiting, func(vm *vm) bool {
			if vm.version() < version {
				return false
			}
			delays = append(delays, time.Since(start))
			return true
		})
	}
	if len(waiting) > 0 {
		fleet.t.Errorf("%d VMs do not have version %d after a minute", len(waiting), version)
	}
	return delays
}

func printDelays(t *testing.T, what string, size size, delays []time.Duration) {
	slices.Sort(delays)
	t.Logf("%s: %d VMs in %d data centres: p50 %s, p99 %s, max %s", what, size.vms, size.dataCentres,
		delays[len(delays)/2], delays[len(delays)*99/100], delays[len(delays)-1])
}

func perSecond(calls map[string]int, span time.Duration) map[string]string {
	rates := make(map[string]string)
	for operation, count := range calls {
		rates[operation] = fmt.Sprintf("%.3f", float64(count)/span.Seconds())
	}
	return rates
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
