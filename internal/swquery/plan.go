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
	// maxReplicas is the maximum number of replicas of a shard in a plan; the nearest are used.
	maxReplicas = 4
	// sameRegionLatency is the additional latency expected of another data centre in this VM's region before any observation.
	sameRegionLatency = 2 * time.Millisecond
	// crossRegionLatency is the same for another region.
	crossRegionLatency = 40 * time.Millisecond
	// minRemoteFactor and remoteFactorSpread multiply the expected latency of other data centres by a random factor. Work then
	// leaves this data centre only if it is clearly slower, and different roots do not all choose the same replica.
	minRemoteFactor    = 1.5
	remoteFactorSpread = 0.3
)

// Placement determines which VMs send to a backend server.
type Placement interface {
	// Senders returns the VMs that may send to the server, the preferred one first.
	Senders(view *swmember.View, server swindex.Server) []swmember.Member
	// Detours returns VMs that send to the server when none of its senders reaches it, the preferred one first.
	Detours(view *swmember.View, server swindex.Server) []swmember.Member
}

const (
	// maxSenders and maxDetours bound the VMs that a plan chooses from for one backend server, and maxTargets those that it tries.
	maxSenders = 4
	maxDetours = 4
	maxTargets = 2
)

// OwnerPlacement assigns each backend server to one VM of its data centre by rendezvous hashing. If that data centre has no
// live VM, it selects among the VMs of all others.
type OwnerPlacement struct{}

// Senders returns the owner and its fallback.
func (OwnerPlacement) Senders(view *swmember.View, server swindex.Server) []swmember.Member {
	owners := view.FirstOwners(server.DataCentre, server.Name, maxSenders)
	if len(owners) > 0 {
		return owners
	}
	return othersRanked(view, server, maxSenders)
}

// Detours returns VMs of other data centres.
func (OwnerPlacement) Detours(view *swmember.View, server swindex.Server) []swmember.Member {
	return othersRanked(view, server, maxDetours)
}

// othersRanked returns the first VMs outside the server's data centre, by rendezvous hashing.
func othersRanked(view *swmember.View, server swindex.Server, count int) []swmember.Member {
	var others []swmember.Member
	for _, dataCentre := range view.DataCentres() {
		if dataCentre != server.DataCentre {
			others = append(others, view.Members(dataCentre)...)
		}
	}
	return swmember.FirstRanked(others, server.Name, count)
}

// DirectPlacement makes every VM send to all backend servers itself.
type DirectPlacement struct{}

// Senders returns this VM.
func (DirectPlacement) Senders(view *swmember.View, _ swindex.Server) []swmember.Member {
	return []swmember.Member{view.Self}
}

// Detours returns VMs of the server's data centre.
func (DirectPlacement) Detours(view *swmember.View, server swindex.Server) []swmember.Member {
	return slices.DeleteFunc(view.FirstOwners(server.DataCentre, server.Name, maxDetours), func(member swmember.Member) bool { return member.Name == view.Self.Name })
}

// replica is a replica of a shard with the VMs that send to it.
type replica struct {
	server       string
	dataCentre   string
	local        bool
	extraLatency time.Duration
	// senders are those that the placement names, and detours VMs that are tried if none of them reaches the server.
	senders, detours []string
}

// owners returns the VMs through which a plan tries the replica, best first. Those that don't reach its data centre come last.
func (replica *replica) owners(now time.Time, links *ownerLinks) (owners [maxTargets]string) {
	count := 0
	add := func(names []string, lost bool) {
		for _, name := range names {
			if count < maxTargets && links.lost(now, ownerLink{name, replica.dataCentre}) == lost {
				owners[count] = name
				count++
			}
		}
	}
	add(replica.senders, false)
	if count == 0 {
		add(replica.detours, false)
	}
	add(replica.senders, true)
	return owners
}

// shardTemplate is a shard with the replicas that its plans choose from, nearest first.
type shardTemplate struct {
	number    int
	documents int64
	replicas  []replica
}

// template caches the part of a plan that depends only on the snapshot, the membership and the server lists. It is rebuilt
// when one of them changes.
type template struct {
	snapshot *swindex.Snapshot
	view     *swmember.View
	servers  *swindex.ServerMap
	shards   []shardTemplate
}

// Planner makes a query's plan from a snapshot. It is safe for concurrent use.
type Planner struct {
	registry  *swindex.Registry
	placement Placement
	latencies *Latencies

	notHeld *notHeldServers
	links   *ownerLinks

	mutex     sync.Mutex
	templates map[*swindex.Snapshot]*template
}

// NewPlanner returns a planner that uses the registry's backend servers.
func NewPlanner(registry *swindex.Registry, placement Placement, latencies *Latencies) *Planner {
	return &Planner{
		registry:  registry,
		placement: placement,
		latencies: latencies,
		notHeld:   newNotHeldServers(),
		links:     newOwnerLinks(),
		templates: make(map[*swindex.Snapshot]*template),
	}
}

// Plan orders the targets of each shard of the snapshot by expected latency. Draining servers are left out.
func (planner *Planner) Plan(now time.Time, index string, snapshot *swindex.Snapshot, view *swmember.View) []ShardPlan {
	template := planner.template(snapshot, view)
	indexAverage := planner.latencies.IndexAverage(index)
	plan := make([]ShardPlan, len(template.shards))
	targets := make([]Target, 0, 2*maxReplicas*len(template.shards))
	for i := range template.shards {
		shard := &template.shards[i]
		first := len(targets)
		targets = planner.appendTargets(targets, now, indexAverage, snapshot, shard)
		plan[i] = ShardPlan{Number: shard.number, Documents: shard.documents, Targets: targets[first:len(targets):len(targets)]}
	}
	return plan
}

// appendTargets appends the targets of a shard: first its replicas through their owners, by expected latency, and then, in the
// same order, through their fallback owners. Owners that have lost their links to the servers are passed over.
func (planner *Planner) appendTargets(targets []Target, now time.Time, indexAverage time.Duration, snapshot *swindex.Snapshot, shard *shardTemplate) []Target {
	var order [maxReplicas]int
	var score [maxReplicas]float64
	var owners [maxReplicas][maxTargets]string
	count := 0
	for i := range shard.replicas {
		replica := &shard.replicas[i]
		if planner.registry.IsDraining(replica.server) {
			continue
		}
		score[i] = float64(planner.latencies.Estimate(now, replica.server, indexAverage+replica.extraLatency))
		order[count] = i
		owners[i] = replica.owners(now, planner.links)
		if !replica.local {
			score[i] *= minRemoteFactor + remoteFactorSpread*rand.Float64()
		}
		if planner.notHeld.has(now, snapshot, replica.server) {
			score[i] += float64(notHeldPenalty)
		}
		count++
	}
	slices.SortFunc(order[:count], func(a, b int) int {
		if score[a] < score[b] {
			return -1
		}
		return 1
	})
	for choice := range maxTargets {
		for _, i := range order[:count] {
			replica := &shard.replicas[i]
			if owner := owners[i][choice]; owner != "" {
				targets = append(targets, Target{Server: replica.server, Owner: owner, Local: replica.local})
			}
		}
	}
	return targets
}

// template returns the cached template of a snapshot. It rebuilds the template if the membership or the server lists changed.
func (planner *Planner) template(snapshot *swindex.Snapshot, view *swmember.View) *template {
	servers := planner.registry.Servers()
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	cached := planner.templates[snapshot]
	if cached != nil && cached.view == view && cached.servers == servers {
		return cached
	}
	cached = &template{snapshot: snapshot, view: view, servers: servers}
	cached.shards = make([]shardTemplate, len(snapshot.Shards))
	for i := range snapshot.Shards {
		cached.shards[i] = planner.shardTemplate(&snapshot.Shards[i], view, servers)
	}
	planner.evictTemplates(snapshot)
	planner.templates[snapshot] = cached
	return cached
}

// maxTemplates limits the number of snapshots with a cached template.
const maxTemplates = 64

// evictTemplates removes the templates of all other snapshots if the cache is full.
func (planner *Planner) evictTemplates(keep *swindex.Snapshot) {
	if len(planner.templates) < maxTemplates {
		return
	}
	for snapshot := range planner.templates {
		if snapshot != keep {
			delete(planner.templates, snapshot)
		}
	}
}

// shardTemplate selects the nearest replicas of a shard and their senders. Senders are looked up for these replicas only
// because the lookup is expensive.
func (planner *Planner) shardTemplate(shard *swindex.Shard, view *swmember.View, servers *swindex.ServerMap) shardTemplate {
	near := planner.nearest(shard, view, servers)
	replicas := make([]replica, 0, len(near))
	for _, candidate := range near {
		senders := planner.placement.Senders(view, candidate.server)
		if len(senders) > 0 {
			replicas = append(replicas, newReplica(view, candidate, senders, planner.placement.Detours(view, candidate.server)))
		}
	}
	return shardTemplate{number: shard.Number, documents: shard.Documents, replicas: replicas}
}

// candidate is a replica with the additional latency expected of its data centre.
type candidate struct {
	server       swindex.Server
	extraLatency time.Duration
}

// nearest returns the replicas of a shard that accept work, nearest first, at most maxReplicas.
func (planner *Planner) nearest(shard *swindex.Shard, view *swmember.View, servers *swindex.ServerMap) []candidate {
	candidates := make([]candidate, 0, len(shard.Replicas))
	for _, name := range shard.Replicas {
		server, known := servers.Server(name)
		if known && !server.Leaving {
			candidates = append(candidates, candidate{server: server, extraLatency: extraLatency(view, server.DataCentre)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.extraLatency, b.extraLatency) })
	return candidates[:min(len(candidates), maxReplicas)]
}

// extraLatency returns the latency that an answer from the data centre is expected to add to one from this VM's own.
func extraLatency(view *swmember.View, dataCentre string) time.Duration {
	if dataCentre == view.Self.DataCentre {
		return 0
	}
	members := view.Members(dataCentre)
	if len(members) > 0 && members[0].Region == view.Self.Region {
		return sameRegionLatency
	}
	return crossRegionLatency
}

func newReplica(view *swmember.View, candidate candidate, senders, detours []swmember.Member) replica {
	return replica{
		server:       candidate.server.Name,
		dataCentre:   candidate.server.DataCentre,
		local:        candidate.server.DataCentre == view.Self.DataCentre,
		extraLatency: candidate.extraLatency,
		senders:      namesOf(senders),
		detours:      namesOf(detours),
	}
}

func namesOf(members []swmember.Member) []string {
	names := make([]string, len(members))
	for i := range members {
		names[i] = members[i].Name
	}
	return names
}
