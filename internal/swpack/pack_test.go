package swpack

import (
	"errors"
	"fmt"
	"testing"
)

// maxSize is the size limit in these tests, in bytes.
const maxSize = 1 << 20

func TestDecompressRefusesValuesOverTheSizeLimit(t *testing.T) {
	for _, test := range []struct {
		size int
		err  error
	}{{size: 0}, {size: maxSize}, {size: maxSize + 1, err: ErrTooLarge}} {
		t.Run(fmt.Sprint(test.size), func(t *testing.T) {
			packed, err := Compress(make([]byte, test.size))
			if err != nil {
				t.Fatal(err)
			}
			value, err := Decompress(packed, maxSize)
			if !errors.Is(err, test.err) {
				t.Errorf("decompressing %d bytes: error %v, want %v", test.size, err, test.err)
			}
			if err == nil && len(value) != test.size {
				t.Errorf("decompressed to %d bytes, want %d", len(value), test.size)
			}
		})
	}
}
