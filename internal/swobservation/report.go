package swobservation

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

const (
	// MaxEntries bounds the replicas in one report. It covers half of the replicas of 54 shards; where more are unusual, those with most
	// unusual attempts are reported.
	MaxEntries = 128
	// countUnit is the resolution of the counts in a report.
	countUnit = 0.25
	// keySize and entrySize are the sizes in bytes of a key and of an entry: a key, four counts and a number of VMs.
	keySize   = keyBits / 8
	entrySize = keySize + 5
)

// Entry holds the counts of one replica.
type Entry struct {
	Replica Key
	Counts
	// VMs is the number of VMs that saw something unusual.
	VMs int
}

// Report holds the counts of at most MaxEntries replicas.
type Report []Entry

// bounded sorts the entries by the number of unusual attempts and drops those beyond MaxEntries.
func (report Report) bounded() Report {
	slices.SortFunc(report, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.unusual(), a.unusual()), cmp.Compare(a.Replica, b.Replica))
	})
	return report[:min(len(report), MaxEntries)]
}

// Top returns the entries with the most unusual attempts, at most as many as given. The report must come from a Tracker.
func (report Report) Top(count int) Report {
	return report[:min(len(report), max(0, count))]
}

// Encode returns the report in the form that is sent between VMs. A replica takes 11 bytes.
func (report Report) Encode() []byte {
	data := make([]byte, 0, entrySize*min(len(report), MaxEntries))
	for _, entry := range report[:min(len(report), MaxEntries)] {
		counts := entry.atMost(math.MaxUint8 * countUnit)
		var key [8]byte
		binary.BigEndian.PutUint64(key[:], uint64(entry.Replica))
		data = append(data, key[len(key)-keySize:]...)
		for _, count := range []float64{counts.Attempts, counts.Lost, counts.Rejected, counts.Slow} {
			data = append(data, uint8(math.Round(count/countUnit)))
		}
		data = append(data, uint8(min(entry.VMs, math.MaxUint8)))
	}
	return data
}

// DecodeReport decodes what Encode returned. It drops entries that cannot be true, and everything beyond MaxEntries.
func DecodeReport(data []byte) Report {
	report := make(Report, 0, min(len(data)/entrySize, MaxEntries))
	for ; len(data) >= entrySize && len(report) < MaxEntries; data = data[entrySize:] {
		var key [8]byte
		copy(key[len(key)-keySize:], data)
		count := func(i int) float64 { return countUnit * float64(data[keySize+i]) }
		entry := Entry{
			Replica: Key(binary.BigEndian.Uint64(key[:])),
			Counts:  Counts{Attempts: count(0), Lost: count(1), Rejected: count(2), Slow: count(3)},
			VMs:     int(data[keySize+4]),
		}
		if entry.isPlausible() {
			report = append(report, entry)
		}
	}
	return report
}
