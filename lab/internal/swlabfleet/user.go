// Package swlabfleet runs one user's complete system: a simulated platform, simulated backend servers, and VMs behind
// proxies that simulate the network.
package swlabfleet

import (
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// DataCentre names a data centre and its region.
type DataCentre struct {
	Name   string
	Region string
}

// Pool describes the backend servers of one index.
type Pool struct {
	Index string
	// Shards is the number of shards, and Replicas the number of servers for each of them.
	Shards       int
	Replicas     int
	Slots        int
	Connections  int
	ConnectDelay time.Duration
	// Service is the median service time.
	MedianServiceTime time.Duration
	// DocumentCount is the number of documents in the index.
	DocumentCount int
}

// User describes the fleet and the load of one user of sycamorewall.
type User struct {
	Name        string
	DataCentres []DataCentre
	// DelayWithinRegion and DelayBetweenRegions are the one-way network delays between data centres.
	DelayWithinRegion   time.Duration
	DelayBetweenRegions time.Duration
	// ClientDelay is the one-way network delay between callers and VMs.
	ClientDelay time.Duration
	Pools       []Pool
	// Rules is the text of the rule file.
	Rules string
	// Streams is the load without any surge.
	Streams []swlabload.Stream
}

const (
	// slowConnectDelay and fastConnectDelay are the times that backend servers take to accept a connection.
	slowConnectDelay = 5 * time.Millisecond
	fastConnectDelay = time.Millisecond
	// documentsPerIndex is the number of documents in each index.
	documentsPerIndex = 1500
	// hitLimit is the number of hits that most callers request.
	hitLimit = 10
)

// Users returns all users, sorted by name.
func Users() []User {
	return []User{avellana(), kowhai()}
}

// FindUser returns the user with the given name, and whether there is one.
func FindUser(name string) (User, bool) {
	for _, user := range Users() {
		if user.Name == name {
			return user, true
		}
	}
	return User{}, false
}

func kowhai() User {
	return User{
		Name: "kowhai",
		DataCentres: []DataCentre{
			{"auckland-1", "auckland"}, {"wellington-1", "wellington"}, {"christchurch-1", "christchurch"},
		},
		DelayWithinRegion: 500 * time.Microsecond, DelayBetweenRegions: 10 * time.Millisecond, ClientDelay: 3 * time.Millisecond,
		Pools: []Pool{
			{Index: "desk", Shards: 10, Replicas: 3, Slots: 2, Connections: 25,
				ConnectDelay: slowConnectDelay, MedianServiceTime: 20 * time.Millisecond, DocumentCount: documentsPerIndex},
			{Index: "portal", Shards: 15, Replicas: 3, Slots: 2, Connections: 25,
				ConnectDelay: slowConnectDelay, MedianServiceTime: 20 * time.Millisecond, DocumentCount: documentsPerIndex},
			{Index: "export", Shards: 1, Replicas: 10, Slots: 3, Connections: 100,
				ConnectDelay: fastConnectDelay, MedianServiceTime: 40 * time.Millisecond, DocumentCount: documentsPerIndex},
			{Index: "levy", Shards: 1, Replicas: 5, Slots: 3, Connections: 100,
				ConnectDelay: fastConnectDelay, MedianServiceTime: 40 * time.Millisecond, DocumentCount: documentsPerIndex},
		},
		Rules: `pass Caller=treasurer-desk Priority=Urgent                 # treasurer support, case 790
pass Caller=member-portal Priority=Standard                # portal team, case 801
pass Caller=audit-export Priority=Deferrable               # audit team, case 812
pass Caller=levy-notice-sender Priority=Deferrable         # levy team, case 815
`,
		Streams: []swlabload.Stream{
			{Priority: swrule.Urgent, Caller: "treasurer-desk", Kind: "balance-check", Index: "desk",
				RatePerSecond: 40, Timeout: 500 * time.Millisecond,
				Queries: []string{"levy", "grant count:state", "hall rent", "bus count:month", "kit"}, Limit: hitLimit},
			{Priority: swrule.Urgent, Caller: "treasurer-desk", Kind: "payment-match", Index: "levy",
				RatePerSecond: 4, Timeout: time.Second,
				Queries: []string{"rent", "loan"}, Limit: 1, NonIdempotent: true},
			{Priority: swrule.Standard, Caller: "member-portal", Kind: "entry-search", Index: "portal",
				RatePerSecond: 25, Timeout: time.Second,
				Queries: []string{"coach", "food count:state", "power", "kit hall"}, Limit: hitLimit},
			{Priority: swrule.Deferrable, Caller: "audit-export", Kind: "export-scan", Index: "export",
				RatePerSecond: 20, Timeout: 3 * time.Second,
				Queries: []string{"loan count:month count:state", "levy count:month"}, Limit: hitLimit},
			{Priority: swrule.Deferrable, Caller: "levy-notice-sender", Kind: "notice-list", Index: "levy",
				RatePerSecond: 10, Timeout: 3 * time.Second,
				Queries: []string{"levy", "grant"}, Limit: hitLimit},
		},
	}
}

func avellana() User {
	return User{
		Name: "avellana",
		DataCentres: []DataCentre{
			{"maule-1", "maule"}, {"araucania-1", "araucania"}, {"ohiggins-1", "ohiggins"},
		},
		DelayWithinRegion: 500 * time.Microsecond, DelayBetweenRegions: 20 * time.Millisecond, ClientDelay: time.Millisecond,
		Pools: []Pool{
			{Index: "belt", Shards: 10, Replicas: 3, Slots: 2, Connections: 25,
				ConnectDelay: slowConnectDelay, MedianServiceTime: 15 * time.Millisecond, DocumentCount: documentsPerIndex},
			{Index: "calibration", Shards: 15, Replicas: 3, Slots: 2, Connections: 25,
				ConnectDelay: slowConnectDelay, MedianServiceTime: 15 * time.Millisecond, DocumentCount: documentsPerIndex},
			{Index: "ledger", Shards: 1, Replicas: 10, Slots: 2, Connections: 35,
				ConnectDelay: fastConnectDelay, MedianServiceTime: 40 * time.Millisecond, DocumentCount: documentsPerIndex},
			{Index: "buyer", Shards: 1, Replicas: 5, Slots: 2, Connections: 35,
				ConnectDelay: fastConnectDelay, MedianServiceTime: 40 * time.Millisecond, DocumentCount: documentsPerIndex},
		},
		Rules: `pass Caller=belt-console Priority=Urgent                   # line supervisors, case 14
pass Caller=calibration-feed Priority=Standard             # calibration, case 15
pass Caller=lot-ledger Priority=Deferrable                 # lot office, case 22
pass Caller=buyer-report Priority=Deferrable               # sales, case 23
`,
		Streams: []swlabload.Stream{
			{Priority: swrule.Urgent, Caller: "belt-console", Kind: "defect-match", Index: "belt",
				RatePerSecond: 50, Timeout: 400 * time.Millisecond,
				Queries: []string{"husk", "crack count:state", "mould shell", "stone count:month", "rot"}, Limit: hitLimit},
			{Priority: swrule.Urgent, Caller: "belt-console", Kind: "reject-count", Index: "buyer",
				RatePerSecond: 4, Timeout: time.Second,
				Queries: []string{"rot", "crack"}, Limit: 1, NonIdempotent: true},
			{Priority: swrule.Standard, Caller: "calibration-feed", Kind: "batch-search", Index: "calibration",
				RatePerSecond: 25, Timeout: time.Second,
				Queries: []string{"size", "sack count:state", "belt", "shell stone"}, Limit: hitLimit},
			{Priority: swrule.Deferrable, Caller: "lot-ledger", Kind: "lot-scan", Index: "ledger",
				RatePerSecond: 15, Timeout: 3 * time.Second,
				Queries: []string{"lot count:month count:state", "sack count:month"}, Limit: hitLimit},
			{Priority: swrule.Deferrable, Caller: "buyer-report", Kind: "report", Index: "buyer",
				RatePerSecond: 6, Timeout: 3 * time.Second,
				Queries: []string{"size", "lot"}, Limit: hitLimit},
		},
	}
}

// SpreadOverShards returns the user with every pool of one shard and n replicas changed to n shards with one replica
// each.
func (user User) SpreadOverShards() User {
	pools := append([]Pool(nil), user.Pools...)
	for i := range pools {
		if pools[i].Shards == 1 {
			pools[i].Shards, pools[i].Replicas = pools[i].Replicas, 1
		}
	}
	user.Pools = pools
	return user
}
