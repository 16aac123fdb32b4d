package swbackend

import (
	"context"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// BenchmarkExecute measures a sub-request over an in-memory connection, including the work of the fake server.
func BenchmarkExecute(b *testing.B) {
	fake := startFakeServer()
	defer fake.close()
	pool := startFakePool(fake, Config{Admission: swsetting.Admission{ShedByCohort: true}})
	defer pool.Close()
	b.ReportAllocs()
	for b.Loop() {
		if answer := pool.Execute(context.Background(), newSubRequest(time.Second)); answer.Outcome != Answered {
			b.Fatalf("%+v", answer)
		}
	}
}

func BenchmarkEncodeRequest(b *testing.B) {
	subRequest := newSubRequest(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := encodeRequest(&subRequest, serverName, 180*time.Millisecond); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReportWithoutShedding(b *testing.B) {
	fake := startFakeServer()
	defer fake.close()
	pool := startFakePool(fake, Config{})
	defer pool.Close()
	b.ReportAllocs()
	for b.Loop() {
		pool.Report()
	}
}
