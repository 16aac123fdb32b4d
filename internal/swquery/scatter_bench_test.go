package swquery

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swpeer/swpeertest"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// instantBackends answers every sub-request immediately.
type instantBackends struct{}

func (instantBackends) Report() swadmission.Report { return swadmission.Report{} }

func (instantBackends) Execute(_ context.Context, subRequest swbackend.SubRequest) swbackend.Answer {
	return swbackend.Answer{
		Outcome: swbackend.Answered,
		Ran:     swcode.RanYes,
		Hits:    []swbackend.Hit{{ID: "entry", Score: float64(subRequest.Shard)}},
	}
}

type fixedMembers struct{ view *swmember.View }

func (fixedMembers fixedMembers) View() *swmember.View { return fixedMembers.view }
func (fixedMembers) ReportSuspect(string)              {}

// queriesInFlight is the number of concurrent queries of the root.
const queriesInFlight = 12

// BenchmarkQuery measures whole queries of 450 shards over QUIC on the loopback interface. The backend servers are spread over
// a number of owners that answer immediately. The CPU time includes the root and the owners.
func BenchmarkQuery(b *testing.B) {
	for _, owners := range []int{1, 9, 67} {
		b.Run(fmt.Sprintf("owners=%d", owners), func(b *testing.B) { benchmarkQuery(b, owners, 450) })
	}
}

func benchmarkQuery(b *testing.B, owners, shards int) {
	group := swgroup.New(context.Background())
	defer group.Stop()
	authority := swpeertest.NewAuthority(b)
	members := []swmember.Member{{Name: "root", DataCentre: "a", Region: "a"}}
	for i := range owners {
		name := fmt.Sprintf("vm%d", i)
		node := listen(b, authority, name)
		owner := NewOwner(instantBackends{}, group, time.Second)
		node.Handle(swpeer.MethodBatch, func(ctx context.Context, stream *swpeer.Stream) error { return owner.Serve(ctx, stream) })
		node.Serve()
		members = append(members, swmember.Member{Name: name, DataCentre: "a", Region: "a", Peer: node.Address()})
	}
	root := listen(b, authority, "root")
	view := swmember.NewView(members[0], members)
	registry := swindex.NewRegistry()
	snapshot := swindex.Snapshot{ID: "s1"}
	list := swindex.ServerList{DataCentre: "a"}
	for shard := range shards {
		name := fmt.Sprintf("s%d", shard)
		snapshot.Shards = append(snapshot.Shards, swindex.Shard{Number: shard, Documents: 1, Replicas: []string{name}})
		list.Servers = append(list.Servers, swindex.Server{Name: name, DataCentre: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 2, Connections: 25})
	}
	registry.SetServers(list)
	registry.SetCatalogue(&swindex.Catalogue{Index: "books", Snapshots: []swindex.Snapshot{snapshot}})
	cluster := newCluster(1)
	defer cluster.group.Stop()
	engine := New(Config{
		Group: group, Registry: registry, Members: fixedMembers{view}, Rules: passAll{}, Limiter: passAll{},
		Gate: swadmission.NewGate(), Quarantine: clusterQuarantine{cluster}, Backends: instantBackends{},
		Dialer: PeerDialer{Node: root}, Recorder: clusterRecorder{cluster}, Placement: OwnerPlacement{}, Log: zerolog.Nop(),
		AckTimeout: time.Second, HedgePercentile: 95, MaxTimeout: time.Minute, ShedByCohort: true,
	})
	b.ReportAllocs()
	before := cpuTime(b)
	var next atomic.Uint64
	b.SetParallelism(queriesInFlight / runtime.GOMAXPROCS(0))
	b.RunParallel(func(loop *testing.PB) {
		query := Query{Caller: "desk", Kind: "check", Index: "books", Limit: 10, MinCoverage: 1, Timeout: 10 * time.Second}
		for loop.Next() {
			query.ID = next.Add(1)
			if result := engine.Run(context.Background(), query); result.Code != swcode.OK {
				b.Error(result.Err)
				return
			}
		}
	})
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N)/float64(shards), "cpu-ns/sub-request")
}

// cpuTime returns the CPU time of this process, which hardly depends on other load on the machine.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func listen(b *testing.B, authority *swpeertest.Authority, name string) *swpeer.Node {
	node, err := swpeer.Listen(swpeer.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), TLS: authority.TLS(b, name)})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = node.Close() })
	return node
}
