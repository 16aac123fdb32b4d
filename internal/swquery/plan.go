package swquery

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

const (
	// maxReplicas bounds the replicas of a shard that a plan considers, nearest first.
	maxReplicas = 4
	// regionDistance is what an answer from another data centre of this VM's region is expected to take longer, before any
	// was observed.
	regionDistance = 2 * time.Millisecond
	// remoteDistance is the same for another region.
	remoteDistance = 40 * time.Millisecond
	// remoteLow and remoteSpan scale the expectation of another data centre, so that work leaves its own only when that is
	// clearly slower, and then at random, so that roots do not all prefer one replica.
	remoteLow  = 1.5
	remoteSpan = 0.3
)

// Placement chooses which VM sends to a backend server.
type Placement interface {
	// Senders returns the VMs that may send to the server, the preferred one first.
	Senders(view *swmember.View, server swindex.Server) []swmember.Member
}

// senderCount is the number of VMs that a plan tries for one backend server: its owner and a substitute.
const senderCount = 2

// OwnerPlacement gives each backend server to one VM of its data centre by rendezvous hash. A server in a data centre
// without a live VM goes to one VM of all the others.
type OwnerPlacement struct{}

// Senders returns the owner and its substitutes.
func (OwnerPlacement) Senders(view *swmember.View, server swindex.Server) []swmember.Member {
	owners := view.FirstOwners(server.DataCentre, server.Name, senderCount)
	if len(owners) > 0 {
		return owners
	}
	var all []swmember.Member
	for _, dataCentre := range view.DataCentres() {
		all = append(all, view.Members(dataCentre)...)
	}
	return swmember.FirstRanked(all, server.Name, senderCount)
}

// DirectPlacement lets every VM send to every backend server itself.
type DirectPlacement struct{}

// Senders returns this VM.
func (DirectPlacement) Senders(view *swmember.View, _ swindex.Server) []swmember.Member {
	return []swmember.Member{view.Self}
}

// replica is a way to a shard that a plan may choose.
type replica struct {
	server     string
	local      bool
	distance   time.Duration
	owner      string
	substitute string
}

type shardTemplate struct {
	number    int
	documents int64
	replicas  []replica
}

// template holds what a plan takes from the snapshot, the members and the server lists; it is made again when one of
// them changes.
type template struct {
	snapshot *swindex.Snapshot
	view     *swmember.View
	servers  *swindex.ServerMap
	shards   []shardTemplate
}

// Planner turns a snapshot into a plan for one query. It is safe for concurrent use.
type Planner struct {
	registry  *swindex.Registry
	placement Placement
	latencies *Latencies

	lacking *lackingServers

	mutex     sync.Mutex
	templates map[*swindex.Snapshot]*template
}

// NewPlanner returns a planner over the registry.
func NewPlanner(registry *swindex.Registry, placement Placement, latencies *Latencies) *Planner {
	return &Planner{
		registry:  registry,
		placement: placement,
		latencies: latencies,
		lacking:   newLackingServers(),
		templates: make(map[*swindex.Snapshot]*template),
	}
}

// Plan orders the ways to each shard of the snapshot by expected time of answer, leaving out draining servers.
func (planner *Planner) Plan(now time.Time, index string, snapshot *swindex.Snapshot, view *swmember.View) []ShardPlan {
	template := planner.template(snapshot, view)
	typical := planner.latencies.Typical(index)
	plan := make([]ShardPlan, len(template.shards))
	targets := make([]Target, 0, 2*maxReplicas*len(template.shards))
	for i := range template.shards {
		shard := &template.shards[i]
		first := len(targets)
		targets = planner.appendTargets(targets, now, typical, snapshot, shard)
		plan[i] = ShardPlan{Number: shard.number, Documents: shard.documents, Targets: targets[first:len(targets):len(targets)]}
	}
	return plan
}

func (planner *Planner) appendTargets(targets []Target, now time.Time, typical time.Duration, snapshot *swindex.Snapshot, shard *shardTemplate) []Target {
	var order [maxReplicas]int
	var score [maxReplicas]float64
	count := 0
	for i := range shard.replicas {
		replica := &shard.replicas[i]
		if planner.registry.Draining(replica.server) {
			continue
		}
		score[i] = float64(planner.latencies.Expect(now, replica.server, typical+replica.distance))
		order[count] = i
		if !replica.local {
			score[i] *= remoteLow + remoteSpan*rand.Float64()
		}
		if planner.lacking.has(now, snapshot, replica.server) {
			score[i] += float64(lackingPenalty)
		}
		count++
	}
	slices.SortFunc(order[:count], func(a, b int) int {
		if score[a] < score[b] {
			return -1
		}
		return 1
	})
	for _, i := range order[:count] {
		replica := &shard.replicas[i]
		targets = append(targets, Target{Server: replica.server, Owner: replica.owner, Local: replica.local})
	}
	for _, i := range order[:count] {
		replica := &shard.replicas[i]
		if replica.substitute != "" {
			targets = append(targets, Target{Server: replica.server, Owner: replica.substitute, Local: replica.local})
		}
	}
	return targets
}

func (planner *Planner) template(snapshot *swindex.Snapshot, view *swmember.View) *template {
	servers := planner.registry.Servers()
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	known := planner.templates[snapshot]
	if known != nil && known.view == view && known.servers == servers {
		return known
	}
	known = &template{snapshot: snapshot, view: view, servers: servers}
	known.shards = make([]shardTemplate, len(snapshot.Shards))
	for i := range snapshot.Shards {
		known.shards[i] = planner.shardTemplate(&snapshot.Shards[i], view, servers)
	}
	planner.forgetOld(snapshot)
	planner.templates[snapshot] = known
	return known
}

// maxTemplates bounds the snapshots whose templates are kept.
const maxTemplates = 64

func (planner *Planner) forgetOld(keep *swindex.Snapshot) {
	if len(planner.templates) < maxTemplates {
		return
	}
	for snapshot := range planner.templates {
		if snapshot != keep {
			delete(planner.templates, snapshot)
		}
	}
}

// shardTemplate finds the nearest replicas of a shard and who sends to them. The owners are looked up for these alone,
// since that is the dear part.
func (planner *Planner) shardTemplate(shard *swindex.Shard, view *swmember.View, servers *swindex.ServerMap) shardTemplate {
	near := planner.nearest(shard, view, servers)
	replicas := make([]replica, 0, len(near))
	for _, candidate := range near {
		senders := planner.placement.Senders(view, candidate.server)
		if len(senders) > 0 {
			replicas = append(replicas, newReplica(view, candidate, senders))
		}
	}
	return shardTemplate{number: shard.Number, documents: shard.Documents, replicas: replicas}
}

// candidate is a replica with the time that an answer is expected to take longer than one of this data centre.
type candidate struct {
	server   swindex.Server
	distance time.Duration
}

// nearest returns the replicas of a shard that take work, nearest first, at most maxReplicas.
func (planner *Planner) nearest(shard *swindex.Shard, view *swmember.View, servers *swindex.ServerMap) []candidate {
	candidates := make([]candidate, 0, len(shard.Replicas))
	for _, name := range shard.Replicas {
		server, known := servers.Server(name)
		if known && !server.Leaving {
			candidates = append(candidates, candidate{server: server, distance: distance(view, server.DataCentre)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) })
	return candidates[:min(len(candidates), maxReplicas)]
}

// distance returns what an answer from a data centre is expected to take longer than one of this VM's own.
func distance(view *swmember.View, dataCentre string) time.Duration {
	if dataCentre == view.Self.DataCentre {
		return 0
	}
	members := view.Members(dataCentre)
	if len(members) > 0 && members[0].Region == view.Self.Region {
		return regionDistance
	}
	return remoteDistance
}

func newReplica(view *swmember.View, candidate candidate, senders []swmember.Member) replica {
	replica := replica{
		server:   candidate.server.Name,
		local:    candidate.server.DataCentre == view.Self.DataCentre,
		distance: candidate.distance,
		owner:    senders[0].Name,
	}
	if len(senders) > 1 {
		replica.substitute = senders[1].Name
	}
	return replica
}
