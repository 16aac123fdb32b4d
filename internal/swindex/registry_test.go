package swindex_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
)

func TestCatalogueThatCannotBeServedIsRefused(t *testing.T) {
	cases := map[string]string{
		"not JSON":                 `{`,
		"no index":                 `{"Snapshots":[]}`,
		"snapshot without shards":  `{"Index":"a","Snapshots":[{"ID":"s"}]}`,
		"snapshot twice":           `{"Index":"a","Snapshots":[{"ID":"s","Shards":[{"Number":0}]},{"ID":"s","Shards":[{"Number":0}]}]}`,
		"shard twice":              `{"Index":"a","Snapshots":[{"ID":"s","Shards":[{"Number":0},{"Number":0}]}]}`,
		"negative shard":           `{"Index":"a","Snapshots":[{"ID":"s","Shards":[{"Number":-1}]}]}`,
		"negative document counts": `{"Index":"a","Snapshots":[{"ID":"s","Shards":[{"Number":0,"Documents":-1}]}]}`,
	}
	for name, value := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := swindex.DecodeCatalogue([]byte(value)); err == nil {
				t.Error("the catalogue was taken")
			}
		})
	}
}

func TestServerWithoutAddressOrLimitsIsRefused(t *testing.T) {
	for name, value := range map[string]string{
		"no address":     `{"Servers":[{"Name":"a","Slots":1,"Connections":1}]}`,
		"no slots":       `{"Servers":[{"Name":"a","Address":"127.0.0.1:1","Connections":1}]}`,
		"no connections": `{"Servers":[{"Name":"a","Address":"127.0.0.1:1","Slots":1}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := swindex.DecodeServerList([]byte(value)); err == nil {
				t.Error("the list was taken")
			}
		})
	}
}

func TestListOfOneDataCentreLeavesTheOthers(t *testing.T) {
	registry := swindex.NewRegistry()
	registry.SetServers(list("a", 2))
	registry.SetServers(list("b", 2))
	registry.SetServers(list("a", 1))
	var names []string
	for _, name := range []string{"a-0", "a-1", "b-0", "b-1"} {
		if _, known := registry.Servers().Server(name); known {
			names = append(names, name)
		}
	}
	if diff := cmp.Diff([]string{"a-0", "b-0", "b-1"}, names); diff != "" {
		t.Error(diff)
	}
}

func TestDrainingEndsWithItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := swindex.NewRegistry()
		if !registry.MarkDraining("a", time.Second) || registry.MarkDraining("a", time.Second) {
			t.Error("only the first sign is news")
		}
		before := registry.IsDraining("a")
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff([]bool{true, false}, []bool{before, registry.IsDraining("a")}); diff != "" {
			t.Error(diff)
		}
	})
}

func list(dataCentre string, servers int) swindex.ServerList {
	list := swindex.ServerList{DataCentre: dataCentre}
	for i := range servers {
		list.Servers = append(list.Servers, swindex.Server{
			Name:        fmt.Sprintf("%s-%d", dataCentre, i),
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 80),
			DataCentre:  dataCentre,
			Slots:       2,
			Connections: 25,
		})
	}
	return list
}

// BenchmarkRegistryMemory decodes catalogues of three snapshots and the lists of all data centres at several sizes and
// reports the memory that the registry keeps and the size of the objects at the platform.
func BenchmarkRegistryMemory(b *testing.B) {
	for _, size := range []struct{ shards, dataCentres, servers int }{{50, 3, 50}, {450, 3, 476}, {450, 21, 476}} {
		b.Run(fmt.Sprintf("shards=%d/servers=%d", size.shards, size.dataCentres*size.servers), func(b *testing.B) {
			catalogue := swindex.Catalogue{Index: "books"}
			for id := range 3 {
				snapshot := swindex.Snapshot{ID: fmt.Sprintf("s%d", id)}
				for shard := range size.shards {
					described := swindex.Shard{Number: shard, Documents: 1000}
					for dataCentre := range size.dataCentres {
						described.Replicas = append(described.Replicas, fmt.Sprintf("dc%d-%d", dataCentre, shard))
					}
					snapshot.Shards = append(snapshot.Shards, described)
				}
				catalogue.Snapshots = append(catalogue.Snapshots, snapshot)
			}
			object, _ := json.Marshal(catalogue)
			lists := make([][]byte, size.dataCentres)
			for i := range lists {
				lists[i], _ = json.Marshal(list(fmt.Sprintf("dc%d", i), size.servers))
			}
			var registry *swindex.Registry
			before := heap()
			for b.Loop() {
				registry = fill(b, object, lists)
			}
			after := heap()
			runtime.KeepAlive(registry)
			b.ReportMetric(float64(after-before), "heap-bytes")
			b.ReportMetric(float64(len(object)), "catalogue-bytes")
			b.ReportMetric(float64(len(lists[0])), "servers-bytes")
		})
	}
}

func fill(b *testing.B, object []byte, lists [][]byte) *swindex.Registry {
	registry := swindex.NewRegistry()
	catalogue, err := swindex.DecodeCatalogue(object)
	if err != nil {
		b.Fatal(err)
	}
	registry.SetCatalogue(catalogue)
	for _, data := range lists {
		list, err := swindex.DecodeServerList(data)
		if err != nil {
			b.Fatal(err)
		}
		registry.SetServers(list)
	}
	return registry
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
