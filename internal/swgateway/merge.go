package swgateway

import (
	"bytes"
	"slices"
)

// recordSize is the size of a record in a shard's answer, in bytes.
const recordSize = 16

// maxKeptPart is the size of a shard's answer in bytes up to which it is kept as it is until the search is answered.
const maxKeptPart = 4 << 10

// greatestRecords returns a copy of the greatest records of a part, as many as the limit, in any order. The part may hold many times as
// many.
func greatestRecords(part []byte, limit int) []byte {
	// kept is a heap with the least record first.
	kept := make([]byte, 0, max(0, limit)*recordSize)
	for ; len(part) >= recordSize && limit > 0; part = part[recordSize:] {
		record := part[:recordSize]
		switch {
		case len(kept) < cap(kept):
			kept = append(kept, record...)
			siftUp(kept)
		case bytes.Compare(record, kept[:recordSize]) > 0:
			copy(kept, record)
			siftDown(kept)
		}
	}
	return kept
}

// siftUp restores the order of a heap after its last record was added.
func siftUp(heap []byte) {
	for i := len(heap)/recordSize - 1; i > 0; {
		parent := (i - 1) / 2
		if bytes.Compare(recordAt(heap, i), recordAt(heap, parent)) >= 0 {
			return
		}
		swapRecords(heap, i, parent)
		i = parent
	}
}

// siftDown restores the order of a heap after its first record was replaced.
func siftDown(heap []byte) {
	count := len(heap) / recordSize
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < count; child++ {
			if bytes.Compare(recordAt(heap, child), recordAt(heap, least)) < 0 {
				least = child
			}
		}
		if least == i {
			return
		}
		swapRecords(heap, i, least)
		i = least
	}
}

func recordAt(records []byte, index int) []byte {
	return records[index*recordSize : (index+1)*recordSize]
}

func swapRecords(records []byte, i, j int) {
	var record [recordSize]byte
	copy(record[:], recordAt(records, i))
	copy(recordAt(records, i), recordAt(records, j))
	copy(recordAt(records, j), record[:])
}

// mergeRecords returns the greatest records of all parts in descending order. Duplicates are kept. An incomplete record at the
// end of a part is ignored.
func mergeRecords(parts [][]byte, limit int) []byte {
	var records [][]byte
	for _, part := range parts {
		for ; len(part) >= recordSize; part = part[recordSize:] {
			records = append(records, part[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), max(0, limit))]
	merged := make([]byte, 0, len(records)*recordSize)
	for _, record := range records {
		merged = append(merged, record...)
	}
	return merged
}
