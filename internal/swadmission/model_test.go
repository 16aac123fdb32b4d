package swadmission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// The model's sizes: every query needs one answer from each shard.
const (
	modelVMs         = 9
	modelShards      = 10
	modelReplicas    = 3
	modelSlots       = 2
	modelService     = 5 * time.Millisecond
	modelHop         = 500 * time.Microsecond
	modelTimeout     = 190 * time.Millisecond
	modelRetryShare  = 0.05
	modelCallers     = 3
	modelAvoid       = time.Second
	modelStragglerBy = 20
	// modelCapacity is the number of whole queries that the servers can answer in a second.
	modelCapacity = float64(modelReplicas*modelSlots) / 0.005
)

// load is one caller's queries: rate a second between from and until.
type load struct {
	priority swrule.Priority
	caller   string
	rate     float64
	from     time.Duration
	until    time.Duration
}

// scenario is one run of the model.
type scenario struct {
	seed    uint64
	cohorts bool
	// direct makes every VM dispatch to all servers itself, with one slot of each.
	direct   bool
	loads    []load
	total    time.Duration
	counted  time.Duration
	straggle bool
	// resends is how often a caller sends a refused query again at once.
	resends int
	// lose names servers whose work fails from the middle of the run on; loseOwner moves an owner's servers to another.
	lose      int
	loseOwner bool
	// slots is the number of slots that the servers really have; modelSlots when zero.
	slots int
}

// tally is what came of the queries of one priority, or of its calm load alone.
type tally struct {
	offered, whole, refused, cut int
	ran, wasted                  int
	latencies                    []time.Duration
}

func (tally *tally) p99() time.Duration {
	if len(tally.latencies) == 0 {
		return 0
	}
	slices.Sort(tally.latencies)
	return tally.latencies[len(tally.latencies)*99/100]
}

// model is N servers behind queues at their owners, and roots that scatter queries over them.
type model struct {
	scenario scenario
	start    time.Time
	servers  []*modelServer
	gates    []*Gate
	shards   [][]string
	byName   map[string]*modelServer

	mutex   sync.Mutex
	tallies map[string]*tally
	avoided map[avoidKey]time.Time
	sent    float64
	retried float64
	peak    int
	present int
}

func newModel(scenario scenario) *model {
	model := &model{
		scenario: scenario, start: time.Now(), byName: make(map[string]*modelServer),
		tallies: make(map[string]*tally), avoided: make(map[avoidKey]time.Time),
	}
	for range modelVMs {
		model.gates = append(model.gates, NewGate())
	}
	for shard := range modelShards {
		var replicas []string
		for replica := range modelReplicas {
			server := &modelServer{name: fmt.Sprintf("s%d-%d", shard, replica), owner: len(model.servers) % modelVMs, slow: 1}
			server.queue = newReadyQueue(modelSlots, swsetting.Admission{ShedByCohort: scenario.cohorts})
			if scenario.direct {
				for range modelVMs {
					server.direct = append(server.direct, newReadyQueue(1, swsetting.Admission{ShedByCohort: scenario.cohorts}))
				}
			}
			model.servers = append(model.servers, server)
			model.byName[server.name] = server
			replicas = append(replicas, server.name)
		}
		model.shards = append(model.shards, replicas)
	}
	if scenario.straggle {
		model.servers[0].slow = modelStragglerBy
	}
	for i := range scenario.lose {
		model.servers[i*modelReplicas%len(model.servers)+i*modelReplicas/len(model.servers)].lostAt = scenario.total / 2
	}
	return model
}

// report is what the owner of the server sends with its replies.
func (model *model) report(owner int) Report {
	var report Report
	for _, server := range model.servers {
		queue, present := server.queueAndOwner(owner)
		if present != owner {
			continue
		}
		if entry, shedding := queue.Report(server.name); shedding {
			report.Servers = append(report.Servers, entry)
		}
	}
	return report
}

func (model *model) run() map[string]*tally {
	group := swgroup.New(context.Background())
	for i, load := range model.scenario.loads {
		group.Go(func(ctx context.Context) { model.generate(group, load, uint64(i)) })
	}
	if model.scenario.loseOwner {
		group.Go(func(context.Context) { model.moveOwner() })
	}
	group.Wait()
	return model.tallies
}

// moveOwner gives the servers of the first VM to the second, which starts with empty queues.
func (model *model) moveOwner() {
	time.Sleep(model.scenario.total / 2)
	for _, server := range model.servers {
		server.mutex.Lock()
		if server.owner == 0 {
			server.owner = 1
			server.queue = newReadyQueue(modelSlots, swsetting.Admission{ShedByCohort: model.scenario.cohorts})
		}
		server.mutex.Unlock()
	}
}

// generate offers one load's queries with exponential gaps.
func (model *model) generate(group *swgroup.Group, load load, stream uint64) {
	random := rand.New(rand.NewPCG(model.scenario.seed, stream))
	time.Sleep(load.from)
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / load.rate * float64(time.Second)))
		if time.Since(model.start) > load.until {
			return
		}
		seed := random.Uint64()
		group.Go(func(ctx context.Context) {
			for range model.scenario.resends + 1 {
				if model.query(ctx, load, rand.New(rand.NewPCG(seed, 1))) {
					return
				}
				seed++
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// query runs one query at a random root and reports whether it was answered whole.
func (model *model) query(ctx context.Context, load load, random *rand.Rand) bool {
	query := Query{Priority: load.priority, Caller: load.caller, Cohort: uint16(random.Uint32())}
	root := random.IntN(modelVMs)
	gate := model.gates[root]
	counted := time.Since(model.start) > model.scenario.counted
	if model.scenario.cohorts {
		if _, admitted := gate.Admit(query, model.shards); !admitted {
			model.count(load, counted, func(tally *tally) { tally.offered++; tally.refused++ })
			return false
		}
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, modelTimeout)
	defer cancel()
	ran, whole := model.scatter(ctx, cancel, root, query, random)
	model.count(load, counted, func(tally *tally) {
		tally.offered++
		tally.ran += ran
		if !whole {
			tally.cut++
			tally.wasted += ran
			return
		}
		tally.whole++
		tally.latencies = append(tally.latencies, time.Since(start))
	})
	return whole
}

func (model *model) count(load load, counted bool, change func(*tally)) {
	if !counted {
		return
	}
	model.mutex.Lock()
	defer model.mutex.Unlock()
	keys := []string{load.priority.String()}
	if load.from == 0 {
		keys = append(keys, "calm "+load.priority.String())
	}
	for _, key := range keys {
		if model.tallies[key] == nil {
			model.tallies[key] = &tally{}
		}
		change(model.tallies[key])
	}
}

// scatter asks one replica of every shard, and one other for a shard that was refused, within the retry budget. The
// first shard that fails for good withdraws the rest.
func (model *model) scatter(ctx context.Context, cancel context.CancelFunc, root int, query Query, random *rand.Rand) (ran int, whole bool) {
	group := swgroup.New(ctx)
	results := make([]shardResult, modelShards)
	for shard := range model.shards {
		seed := random.Uint64()
		group.Go(func(ctx context.Context) {
			results[shard] = model.ask(ctx, root, query, shard, rand.New(rand.NewPCG(seed, 2)))
			if !results[shard].answered {
				cancel()
			}
		})
	}
	group.Wait()
	whole = true
	for _, result := range results {
		ran += result.ran
		whole = whole && result.answered
	}
	return ran, whole
}

type shardResult struct {
	ran      int
	answered bool
}

func (model *model) ask(ctx context.Context, root int, query Query, shard int, random *rand.Rand) (result shardResult) {
	gate := model.gates[root]
	order := random.Perm(modelReplicas)
	slices.SortStableFunc(order, func(a, b int) int {
		return model.rank(gate, model.shards[shard][a], query) - model.rank(gate, model.shards[shard][b], query)
	})
	for attempt, replica := range order[:2] {
		if attempt > 0 && !model.mayRetry() {
			return result
		}
		ran, answered := model.send(ctx, root, query, model.byName[model.shards[shard][replica]], random)
		if ran {
			result.ran++
		}
		if answered || ctx.Err() != nil {
			result.answered = answered
			return result
		}
	}
	return result
}

// rank orders replicas: those that answer and admit the query first.
func (model *model) rank(gate *Gate, server string, query Query) int {
	model.mutex.Lock()
	until := model.avoided[avoidKey{gate: gate, server: server}]
	model.mutex.Unlock()
	if time.Now().Before(until) {
		return 2
	}
	if gate.Accepts(server, query) {
		return 0
	}
	return 1
}

func (model *model) mayRetry() bool {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	if model.retried >= model.sent*modelRetryShare {
		return false
	}
	model.retried++
	return true
}

func (model *model) send(ctx context.Context, root int, query Query, server *modelServer, random *rand.Rand) (ran, answered bool) {
	model.enter(1)
	defer model.enter(-1)
	pause(ctx, modelHop)
	queue, owner := server.queueAndOwner(root)
	deadline, _ := ctx.Deadline()
	work := Work{Priority: query.Priority, Caller: query.Caller, Cohort: query.Cohort, Deadline: deadline.Add(-modelHop)}
	result := ShedByServer
	for range 2 {
		if result != ShedByServer {
			break
		}
		slot, err := queue.Acquire(ctx, work)
		if err != nil {
			break
		}
		result = model.serve(ctx, server, slot, random)
		queue.Release(slot, result)
	}
	if result == NotRun {
		model.avoid(model.gates[root], server)
	}
	report := model.report(owner)
	pause(ctx, modelHop)
	model.gates[root].Observe(fmt.Sprint(owner), report)
	return result == Completed || result == Wasted, result == Completed && ctx.Err() == nil
}

func (model *model) enter(by int) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.present += by
	model.peak = max(model.peak, model.present)
	if by > 0 {
		model.sent++
	}
}

// serve spends the service time in a slot, or learns that the server is lost or sheds.
func (model *model) serve(ctx context.Context, server *modelServer, slot Slot, random *rand.Rand) Result {
	if server.lostAt > 0 && time.Since(model.start) > server.lostAt {
		return NotRun
	}
	slots := model.scenario.slots
	if model.scenario.direct {
		slots = modelSlots
	}
	if !server.begin(slots) {
		return ShedByServer
	}
	defer server.end()
	service := time.Duration(random.ExpFloat64()*float64(modelService-time.Millisecond)) + time.Millisecond
	if !pause(ctx, service*server.slow) {
		return Wasted
	}
	return Completed
}

// avoid makes the root prefer other replicas for a while, as after Unreachable.
func (model *model) avoid(gate *Gate, server *modelServer) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.avoided[avoidKey{gate: gate, server: server.name}] = time.Now().Add(modelAvoid)
}

type avoidKey struct {
	gate   *Gate
	server string
}

// pause sleeps and reports whether ctx lasted that long.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
