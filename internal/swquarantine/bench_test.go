package swquarantine

import "testing"

func BenchmarkCheck(b *testing.B) {
	tracker := New(Config{Name: "vm"})
	b.ReportAllocs()
	for b.Loop() {
		tracker.Check(healthy, false)
	}
}

func BenchmarkCheckAmongSuspects(b *testing.B) {
	tracker := New(Config{Name: "vm"})
	for i := range uint64(1000) {
		tracker.RecordCrash("s1", []uint64{i})
	}
	tracker.RecordAnswer(healthy)
	b.ReportAllocs()
	for b.Loop() {
		tracker.Check(healthy, false)
	}
}

func BenchmarkRecordAnswer(b *testing.B) {
	tracker := New(Config{Name: "vm"})
	b.RunParallel(func(pb *testing.PB) {
		fingerprint := healthy
		for pb.Next() {
			fingerprint++
			tracker.RecordAnswer(fingerprint % 10000)
		}
	})
}

func BenchmarkFingerprint(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Fingerprint("balance-check", "ledger", "club:17 month:11 subscription")
	}
}
