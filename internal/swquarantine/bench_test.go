package swquarantine

import "testing"

func BenchmarkCheck(b *testing.B) {
	register := New(Config{Name: "vm"})
	b.ReportAllocs()
	for b.Loop() {
		register.Check(popular, false)
	}
}

func BenchmarkCheckAmongSuspects(b *testing.B) {
	register := New(Config{Name: "vm"})
	for i := range uint64(1000) {
		register.Death("s1", []uint64{i})
	}
	register.Answered(popular)
	b.ReportAllocs()
	for b.Loop() {
		register.Check(popular, false)
	}
}

func BenchmarkAnswered(b *testing.B) {
	register := New(Config{Name: "vm"})
	b.RunParallel(func(pb *testing.PB) {
		fingerprint := popular
		for pb.Next() {
			fingerprint++
			register.Answered(fingerprint % 10000)
		}
	})
}

func BenchmarkFingerprint(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Fingerprint("balance-check", "ledger", "club:17 month:11 subscription")
	}
}
