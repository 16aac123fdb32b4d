package swpeer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swpeer/swpeertest"
)

// BenchmarkCall measures a call on an open connection. Client and server run in this process, so the result includes both.
func BenchmarkCall(b *testing.B) {
	authority := swpeertest.NewAuthority(b)
	server := newNode(b, authority.TLS(b, "vm-1"))
	client := newNode(b, authority.TLS(b, "vm-2"))
	b.ReportAllocs()
	for b.Loop() {
		var reply echo
		if err := client.Call(b.Context(), server.Address(), swpeer.MethodStatus, echo{Text: "hello"}, &reply); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkConnect measures the time to open a connection and the heap that an open connection uses, client and server together.
func BenchmarkConnect(b *testing.B) {
	for _, peers := range []int{10, 67} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			authority := swpeertest.NewAuthority(b)
			servers := make([]*swpeer.Node, peers)
			for i := range servers {
				servers[i] = newNode(b, authority.TLS(b, fmt.Sprintf("vm-%d", i)))
			}
			var heapGrowth uint64
			for b.Loop() {
				client := newNode(b, authority.TLS(b, "client"))
				before := heapInUse()
				for _, server := range servers {
					var reply echo
					if err := client.Call(b.Context(), server.Address(), swpeer.MethodStatus, echo{Text: "hello"}, &reply); err != nil {
						b.Fatal(err)
					}
				}
				heapGrowth = heapInUse() - before
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(peers), "ns/connection")
			b.ReportMetric(float64(heapGrowth)/float64(peers), "heap-bytes/connection")
		})
	}
}

// heapInUse returns the size of the live heap in bytes.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
