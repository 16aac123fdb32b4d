package swquery

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

var dataCentres = []string{"a", "b", "c"}

// fakeServer is a backend server that answers each shard with the number of its documents in the snapshot.
type fakeServer struct {
	held  map[string]bool
	delay time.Duration
	dead  bool
	// crashes makes the server fail with crash evidence.
	crashes bool
	// wrong makes the server answer for another snapshot, which its owner finds out.
	wrong bool
}

// world holds three data centres with one VM and one replica of each shard in each, joined by memory.
type world struct {
	group    *swgroup.Group
	registry *swindex.Registry
	view     map[string]*swmember.View
	engines  map[string]*Engine
	verdict  swquarantine.Verdict
	mayRetry bool

	mutex     sync.Mutex
	servers   map[string]*fakeServer
	documents map[string]map[int]int64
	runs      map[string]int
	cancelled int
	suspects  []string
	events    map[string]int64
	// silent VMs receive nothing and send nothing; mute VMs receive but send nothing.
	silent map[netip.AddrPort]bool
	mute   map[netip.AddrPort]bool
	// muteOnceRunning mutes all VMs when a backend server begins to run work.
	muteOnceRunning bool
	// distance is the one-way delay between data centres.
	distance time.Duration
	// gone VMs take no new streams, and streams holds those that are open.
	gone    map[netip.AddrPort]bool
	streams map[netip.AddrPort][]*memoryExchange
	// forge alters replies on their way to the root.
	forge func(reply *Reply)
	// cross returns a reply that reaches the root before the one it is given.
	cross func(reply Reply) Reply
}

func newWorld(shards int) *world {
	world := &world{
		group:     swgroup.New(context.Background()),
		registry:  swindex.NewRegistry(),
		view:      make(map[string]*swmember.View),
		engines:   make(map[string]*Engine),
		mayRetry:  true,
		servers:   make(map[string]*fakeServer),
		documents: make(map[string]map[int]int64),
		runs:      make(map[string]int),
		events:    make(map[string]int64),
		silent:    make(map[netip.AddrPort]bool),
		mute:      make(map[netip.AddrPort]bool),
		gone:      make(map[netip.AddrPort]bool),
		streams:   make(map[netip.AddrPort][]*memoryExchange),
	}
	members := make([]swmember.Member, len(dataCentres))
	for i, name := range dataCentres {
		members[i] = swmember.Member{Name: "vm-" + name, DataCentre: name, Region: name, Peer: vmAddress(name)}
	}
	for i, name := range dataCentres {
		world.view[name] = swmember.NewView(members[i], members)
		world.engines[name] = world.newEngine(name)
	}
	world.publish("s1", shards)
	return world
}

func vmAddress(dataCentre string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, dataCentre[0]}), 1)
}

// publish adds a snapshot that every replica holds.
func (world *world) publish(id string, shards int) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	snapshot := swindex.Snapshot{ID: id}
	world.documents[id] = make(map[int]int64)
	lists := make(map[string][]swindex.Server)
	for shard := range shards {
		documents := int64(100*len(id)+10*shard) + int64(id[1])
		world.documents[id][shard] = documents
		described := swindex.Shard{Number: shard, Documents: documents}
		for i, dataCentre := range dataCentres {
			name := fmt.Sprintf("%s%d", dataCentre, shard)
			if world.servers[name] == nil {
				world.servers[name] = &fakeServer{held: make(map[string]bool), delay: time.Duration(2+i) * time.Millisecond}
			}
			world.servers[name].held[id] = true
			described.Replicas = append(described.Replicas, name)
			lists[dataCentre] = append(lists[dataCentre], swindex.Server{Name: name, DataCentre: dataCentre, Address: vmAddress(dataCentre), Slots: 2, Connections: 25})
		}
		snapshot.Shards = append(snapshot.Shards, described)
	}
	catalogue := &swindex.Catalogue{Index: "books"}
	if present := world.registry.Catalogue("books"); present != nil {
		catalogue.Snapshots = append(catalogue.Snapshots, present.Snapshots...)
	}
	catalogue.Snapshots = append(catalogue.Snapshots, snapshot)
	world.registry.SetCatalogue(catalogue)
	for dataCentre, servers := range lists {
		world.registry.SetServers(swindex.ServerList{DataCentre: dataCentre, Servers: servers})
	}
}

// retire marks a snapshot as taking no new queries.
func (world *world) retire(id string) {
	present := world.registry.Catalogue("books")
	catalogue := &swindex.Catalogue{Index: "books", Snapshots: slices.Clone(present.Snapshots)}
	for i := range catalogue.Snapshots {
		catalogue.Snapshots[i].Retired = catalogue.Snapshots[i].Retired || catalogue.Snapshots[i].ID == id
	}
	world.registry.SetCatalogue(catalogue)
}

// drop takes a snapshot from one replica of a shard in each of the data centres.
func (world *world) drop(snapshot string, shard int, dataCentres ...string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, dataCentre := range dataCentres {
		delete(world.servers[name(dataCentre, shard)].held, snapshot)
	}
}

// killLocal loses every backend server of the root's data centre, so that the work goes through other VMs.
func (world *world) killLocal() {
	for shard := range testShards {
		world.servers[name("a", shard)].dead = true
	}
}

// kill makes a VM take no new streams and breaks those that are open.
func (world *world) kill(target netip.AddrPort) {
	world.mutex.Lock()
	world.gone[target] = true
	world.mutex.Unlock()
	world.breakStreams(target)
}

// total returns the number of documents in a snapshot, which is what a whole answer counts.
func (world *world) total(id string) int64 {
	var total int64
	for _, documents := range world.documents[id] {
		total += documents
	}
	return total
}

func (world *world) newEngine(dataCentre string) *Engine {
	return New(Config{
		Group:           world.group,
		Registry:        world.registry,
		Members:         worldMembers{world, dataCentre},
		Rules:           passAll{},
		Limiter:         passAll{},
		Gate:            swadmission.NewGate(),
		Quarantine:      worldQuarantine{world},
		Backends:        worldBackends{world},
		Dialer:          worldDialer{world, dataCentre},
		Recorder:        worldRecorder{world},
		Placement:       OwnerPlacement{},
		Log:             zerolog.Nop(),
		AckTimeout:      100 * time.Millisecond,
		HedgePercent:    100,
		HedgePercentile: 95,
		MaxTimeout:      time.Minute,
		ShedByCohort:    true,
	})
}

func (world *world) run(ctx context.Context, query Query) Result {
	query.Caller, query.Kind, query.Index, query.Text, query.Limit = "desk", "check", "books", "fees", 10
	if query.ID == 0 {
		query.ID = 77
	}
	if query.Timeout == 0 {
		query.Timeout = 2 * time.Second
	}
	return world.engines["a"].Run(ctx, query)
}

type passAll struct{}

func (passAll) Current() (Matcher, uint64, bool) { return passAll{}, 5, true }
func (passAll) Match(swrule.Request) swrule.Decision {
	return swrule.Decision{Line: 1, Priority: swrule.Urgent}
}
func (passAll) Acquire(context.Context, swrule.Decision) (func(), error) { return func() {}, nil }

type worldMembers struct {
	world      *world
	dataCentre string
}

func (worldMembers worldMembers) View() *swmember.View {
	return worldMembers.world.view[worldMembers.dataCentre]
}

func (worldMembers worldMembers) ReportSuspect(name string) {
	worldMembers.world.mutex.Lock()
	defer worldMembers.world.mutex.Unlock()
	if !slices.Contains(worldMembers.world.suspects, name) {
		worldMembers.world.suspects = append(worldMembers.world.suspects, name)
	}
}

type worldQuarantine struct{ world *world }

func (quarantine worldQuarantine) Check(uint64, bool) swquarantine.Verdict {
	return quarantine.world.verdict
}
func (quarantine worldQuarantine) MayRetry(uint64) bool { return quarantine.world.mayRetry }
func (worldQuarantine) RecordCompletion(uint64)         {}

type worldRecorder struct{ world *world }

func (worldRecorder) RecordQuery(swrule.Priority, string, swcode.Code, time.Duration, int) {}

func (recorder worldRecorder) CountEvent(name string, count int64) {
	recorder.world.mutex.Lock()
	defer recorder.world.mutex.Unlock()
	recorder.world.events[name] += count
}

type worldBackends struct{ world *world }

func (worldBackends) Report() swadmission.Report { return swadmission.Report{} }

// Execute behaves as the pool of an owner in front of the fake servers.
func (backends worldBackends) Execute(ctx context.Context, subRequest swbackend.SubRequest) swbackend.Answer {
	world := backends.world
	world.mutex.Lock()
	server := *world.servers[subRequest.Server]
	held := server.held[subRequest.Snapshot]
	if server.dead {
		world.mutex.Unlock()
		return swbackend.Answer{Outcome: swbackend.Unreachable, Message: subRequest.Server + " refuses connections"}
	}
	if !held {
		world.mutex.Unlock()
		return swbackend.Answer{Outcome: swbackend.SnapshotNotHeld, Message: subRequest.Server + " does not hold the snapshot"}
	}
	world.runs[subRequest.Server]++
	if world.muteOnceRunning {
		for _, dataCentre := range dataCentres {
			world.mute[vmAddress(dataCentre)] = true
		}
	}
	documents := world.documents[subRequest.Snapshot][subRequest.Shard]
	world.mutex.Unlock()
	if server.crashes {
		return swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Crash: true}
	}
	if server.wrong {
		return swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Message: "answer to another request"}
	}
	timer := time.NewTimer(server.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return swbackend.Answer{Outcome: swbackend.Answered, Ran: swcode.RanYes, Counts: map[string]int64{"n": documents}}
	case <-ctx.Done():
		world.mutex.Lock()
		world.cancelled++
		world.mutex.Unlock()
		if ctx.Err() == context.DeadlineExceeded {
			return swbackend.Answer{Outcome: swbackend.Late, Ran: swcode.RanUnknown, Code: swcode.DeadlineExceeded}
		}
		return swbackend.Answer{Outcome: swbackend.Cancelled, Ran: swcode.RanUnknown}
	}
}
