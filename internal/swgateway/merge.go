package swgateway

import (
	"bytes"
	"slices"
)

// recordSize is the size of one record of a shard's answer in bytes.
const recordSize = 16

// mergeRecords returns the greatest records of all parts, greatest first. Equal records all count; what is left at the end
// of a part and shorter than a record is none.
func mergeRecords(parts [][]byte, most int) []byte {
	var records [][]byte
	for _, part := range parts {
		for ; len(part) >= recordSize; part = part[recordSize:] {
			records = append(records, part[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), max(0, most))]
	merged := make([]byte, 0, len(records)*recordSize)
	for _, record := range records {
		merged = append(merged, record...)
	}
	return merged
}
