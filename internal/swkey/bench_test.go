package swkey

import (
	"context"
	"runtime"
	"testing"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

func benchmarkService(b *testing.B) *Service {
	group := swgroup.New(context.Background())
	b.Cleanup(group.Stop)
	service, err := New(Config{Name: "akl-entry-1", Group: group, Limits: Limits{MaxBytes: 1 << 40}})
	if err != nil {
		b.Fatal(err)
	}
	return service
}

func BenchmarkIssue(b *testing.B) {
	service := benchmarkService(b)
	b.ReportAllocs()
	var key string
	for b.Loop() {
		key = service.ownTable.issue(defaultLifetime)
	}
	b.ReportMetric(float64(len(key)), "bytes/key")
}

func BenchmarkVerify(b *testing.B) {
	service := benchmarkService(b)
	key := service.ownTable.issue(defaultLifetime)
	b.ReportAllocs()
	for b.Loop() {
		if !verify(key, service.ownTable.secret) {
			b.Fatal("key refused")
		}
	}
}

func BenchmarkParse(b *testing.B) {
	service := benchmarkService(b)
	key := service.ownTable.issue(defaultLifetime)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseToken(key); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRun runs each request under a new key at its issuer and reports the memory that each run retains.
func BenchmarkRun(b *testing.B) {
	service := benchmarkService(b)
	outcome := Outcome{Code: swcode.OK, Ran: swcode.RanYes, Reply: make([]byte, 200)}
	before := heap()
	runs := 0
	for b.Loop() {
		request := RunRequest{Key: service.ownTable.issue(defaultLifetime), Caller: "treasurer-desk"}
		service.Run(context.Background(), request, func(context.Context) Outcome { return outcome })
		runs++
	}
	b.ReportMetric(float64(heap()-before)/float64(runs), "heap-bytes/run")
	b.ReportMetric(float64(service.Bytes())/float64(runs), "counted-bytes/run")
	runtime.KeepAlive(service)
}

func BenchmarkRepeat(b *testing.B) {
	service := benchmarkService(b)
	request := RunRequest{Key: service.ownTable.issue(defaultLifetime)}
	execute := func(context.Context) Outcome { return Outcome{Code: swcode.OK, Ran: swcode.RanYes} }
	b.ReportAllocs()
	for b.Loop() {
		service.Run(context.Background(), request, execute)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
