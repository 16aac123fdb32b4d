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

// fakeServer is a backend server that answers for each shard with the shard's number of documents in the snapshot.
type fakeServer struct {
	heldSnapshots map[string]bool
	delay         time.Duration
	down          bool
	// crashes makes the server fail as if it crashed with the request in flight.
	crashes bool
	// wrongSnapshot makes the server answer for another snapshot, which its owner detects.
	wrongSnapshot bool
}

// cluster simulates three data centres in memory, each with one VM and one replica of each shard.
type cluster struct {
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
	// unresponsive VMs receive and send nothing. losesReplies lists VMs that receive messages but whose replies are lost.
	unresponsive map[netip.AddrPort]bool
	// withoutLinks holds the data centres whose VM reaches no backend server.
	withoutLinks map[string]bool
	losesReplies map[netip.AddrPort]bool
	// losesRepliesOnceRunning loses the replies of all VMs once a backend server has started work.
	losesRepliesOnceRunning bool
	// delay is the one-way network delay between data centres.
	delay time.Duration
	// unreachable VMs accept no new streams. streams holds the open streams by VM.
	unreachable map[netip.AddrPort]bool
	streams     map[netip.AddrPort][]*memoryStream
	// alterReply modifies replies on their way to the root.
	alterReply func(reply *Reply)
	// mismatchedReply returns a reply that is delivered to the root before the given one.
	mismatchedReply func(reply Reply) Reply
}

func newCluster(shards int) *cluster {
	cluster := &cluster{
		group:        swgroup.New(context.Background()),
		registry:     swindex.NewRegistry(),
		view:         make(map[string]*swmember.View),
		engines:      make(map[string]*Engine),
		mayRetry:     true,
		servers:      make(map[string]*fakeServer),
		documents:    make(map[string]map[int]int64),
		runs:         make(map[string]int),
		events:       make(map[string]int64),
		unresponsive: make(map[netip.AddrPort]bool),
		withoutLinks: make(map[string]bool),
		losesReplies: make(map[netip.AddrPort]bool),
		unreachable:  make(map[netip.AddrPort]bool),
		streams:      make(map[netip.AddrPort][]*memoryStream),
	}
	members := make([]swmember.Member, len(dataCentres))
	for i, name := range dataCentres {
		members[i] = swmember.Member{Name: "vm-" + name, DataCentre: name, Region: name, Peer: vmAddress(name)}
	}
	for i, name := range dataCentres {
		cluster.view[name] = swmember.NewView(members[i], members)
		cluster.engines[name] = cluster.newEngine(name)
	}
	cluster.publish("s1", shards)
	return cluster
}

func vmAddress(dataCentre string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, dataCentre[0]}), 1)
}

// publish adds a snapshot that every replica holds.
func (cluster *cluster) publish(id string, shards int) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	snapshot := swindex.Snapshot{ID: id}
	cluster.documents[id] = make(map[int]int64)
	lists := make(map[string][]swindex.Server)
	for shard := range shards {
		documents := int64(100*len(id)+10*shard) + int64(id[1])
		cluster.documents[id][shard] = documents
		described := swindex.Shard{Number: shard, Documents: documents}
		for i, dataCentre := range dataCentres {
			name := fmt.Sprintf("%s%d", dataCentre, shard)
			if cluster.servers[name] == nil {
				cluster.servers[name] = &fakeServer{heldSnapshots: make(map[string]bool), delay: time.Duration(2+i) * time.Millisecond}
			}
			cluster.servers[name].heldSnapshots[id] = true
			described.Replicas = append(described.Replicas, name)
			lists[dataCentre] = append(lists[dataCentre], swindex.Server{Name: name, DataCentre: dataCentre, Address: vmAddress(dataCentre), Slots: 2, Connections: 25})
		}
		snapshot.Shards = append(snapshot.Shards, described)
	}
	catalogue := &swindex.Catalogue{Index: "books"}
	if present := cluster.registry.Catalogue("books"); present != nil {
		catalogue.Snapshots = append(catalogue.Snapshots, present.Snapshots...)
	}
	catalogue.Snapshots = append(catalogue.Snapshots, snapshot)
	cluster.registry.SetCatalogue(catalogue)
	for dataCentre, servers := range lists {
		cluster.registry.SetServers(swindex.ServerList{DataCentre: dataCentre, Servers: servers})
	}
}

// retire marks a snapshot as accepting no new queries.
func (cluster *cluster) retire(id string) {
	present := cluster.registry.Catalogue("books")
	catalogue := &swindex.Catalogue{Index: "books", Snapshots: slices.Clone(present.Snapshots)}
	for i := range catalogue.Snapshots {
		catalogue.Snapshots[i].Retired = catalogue.Snapshots[i].Retired || catalogue.Snapshots[i].ID == id
	}
	cluster.registry.SetCatalogue(catalogue)
}

// drop removes a snapshot from the replicas of a shard in the given data centres.
func (cluster *cluster) drop(snapshot string, shard int, dataCentres ...string) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, dataCentre := range dataCentres {
		delete(cluster.servers[name(dataCentre, shard)].heldSnapshots, snapshot)
	}
}

// stopLocalServers takes down every backend server of the root's data centre, so that queries go to other VMs.
func (cluster *cluster) stopLocalServers() {
	for shard := range testShards {
		cluster.servers[name("a", shard)].down = true
	}
}

// kill makes a VM accept no new streams and breaks its open ones.
func (cluster *cluster) kill(target netip.AddrPort) {
	cluster.mutex.Lock()
	cluster.unreachable[target] = true
	cluster.mutex.Unlock()
	cluster.breakStreams(target)
}

// total returns the number of documents in a snapshot, which is the count of a complete answer.
func (cluster *cluster) total(id string) int64 {
	var total int64
	for _, documents := range cluster.documents[id] {
		total += documents
	}
	return total
}

func (cluster *cluster) newEngine(dataCentre string) *Engine {
	return New(Config{
		Group:           cluster.group,
		Registry:        cluster.registry,
		Members:         clusterMembers{cluster, dataCentre},
		Rules:           passAll{},
		Limiter:         passAll{},
		Gate:            swadmission.NewGate(),
		Quarantine:      clusterQuarantine{cluster},
		Backends:        clusterBackends{cluster, dataCentre},
		Dialer:          clusterDialer{cluster, dataCentre},
		Recorder:        clusterRecorder{cluster},
		Placement:       OwnerPlacement{},
		Log:             zerolog.Nop(),
		AckTimeout:      100 * time.Millisecond,
		HedgePercent:    100,
		HedgePercentile: 95,
		MaxTimeout:      time.Minute,
		ShedByCohort:    true,
	})
}

func (cluster *cluster) run(ctx context.Context, query Query) Result {
	query.Caller, query.Kind, query.Index, query.Text, query.Limit = "desk", "check", "books", "fees", 10
	if query.ID == 0 {
		query.ID = 77
	}
	if query.Timeout == 0 {
		query.Timeout = 2 * time.Second
	}
	return cluster.engines["a"].Run(ctx, query)
}

type passAll struct{}

func (passAll) Current() (Matcher, uint64, bool) { return passAll{}, 5, true }
func (passAll) Match(swrule.Request) swrule.Decision {
	return swrule.Decision{Line: 1, Priority: swrule.Urgent}
}
func (passAll) Acquire(context.Context, swrule.Decision) (func(), error) { return func() {}, nil }

type clusterMembers struct {
	cluster    *cluster
	dataCentre string
}

func (clusterMembers clusterMembers) View() *swmember.View {
	return clusterMembers.cluster.view[clusterMembers.dataCentre]
}

func (clusterMembers clusterMembers) ReportSuspect(name string) {
	clusterMembers.cluster.mutex.Lock()
	defer clusterMembers.cluster.mutex.Unlock()
	if !slices.Contains(clusterMembers.cluster.suspects, name) {
		clusterMembers.cluster.suspects = append(clusterMembers.cluster.suspects, name)
	}
}

type clusterQuarantine struct{ cluster *cluster }

func (quarantine clusterQuarantine) Check(uint64, bool) swquarantine.Verdict {
	return quarantine.cluster.verdict
}
func (quarantine clusterQuarantine) MayRetry(uint64) bool { return quarantine.cluster.mayRetry }
func (clusterQuarantine) RecordCompletion(uint64)         {}

type clusterRecorder struct{ cluster *cluster }

func (clusterRecorder) RecordQuery(swrule.Priority, string, swcode.Code, time.Duration, int) {}

func (recorder clusterRecorder) CountEvent(name string, count int64) {
	recorder.cluster.mutex.Lock()
	defer recorder.cluster.mutex.Unlock()
	recorder.cluster.events[name] += count
}

type clusterBackends struct {
	cluster    *cluster
	dataCentre string
}

func (clusterBackends) Report() swadmission.Report { return swadmission.Report{} }

// Execute simulates an owner's pool in front of the fake servers.
func (backends clusterBackends) Execute(ctx context.Context, subRequest swbackend.SubRequest) swbackend.Answer {
	cluster := backends.cluster
	cluster.mutex.Lock()
	server := *cluster.servers[subRequest.Server]
	held := server.heldSnapshots[subRequest.Snapshot]
	if server.down || cluster.withoutLinks[backends.dataCentre] {
		cluster.mutex.Unlock()
		return swbackend.Answer{Outcome: swbackend.Unreachable, Ran: swcode.RanNo, Message: subRequest.Server + " refuses connections"}
	}
	if !held {
		cluster.mutex.Unlock()
		return swbackend.Answer{Outcome: swbackend.SnapshotNotHeld, Ran: swcode.RanNo, Message: subRequest.Server + " does not hold the snapshot"}
	}
	cluster.runs[subRequest.Server]++
	if cluster.losesRepliesOnceRunning {
		for _, dataCentre := range dataCentres {
			cluster.losesReplies[vmAddress(dataCentre)] = true
		}
	}
	documents := cluster.documents[subRequest.Snapshot][subRequest.Shard]
	cluster.mutex.Unlock()
	if server.crashes {
		return swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Crash: true}
	}
	if server.wrongSnapshot {
		return swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Message: "answer to another request"}
	}
	timer := time.NewTimer(server.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return swbackend.Answer{Outcome: swbackend.Answered, Ran: swcode.RanYes, Counts: map[string]int64{"n": documents}}
	case <-ctx.Done():
		cluster.mutex.Lock()
		cluster.cancelled++
		cluster.mutex.Unlock()
		if ctx.Err() == context.DeadlineExceeded {
			return swbackend.Answer{Outcome: swbackend.Late, Ran: swcode.RanUnknown, Code: swcode.DeadlineExceeded}
		}
		return swbackend.Answer{Outcome: swbackend.Cancelled, Ran: swcode.RanUnknown}
	}
}
