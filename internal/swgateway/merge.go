package swgateway

import (
	"bytes"
	"slices"
)

// recordSize is the size of a record in a shard's answer, in bytes.
const recordSize = 16

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
