package swpack

import (
	"errors"
	"fmt"
	"testing"
)

// most is the bound of the values in these tests, in bytes.
const most = 1 << 20

func TestPackedValueKeepsToTheLimit(t *testing.T) {
	for _, test := range []struct {
		size int
		err  error
	}{{size: 0}, {size: most}, {size: most + 1, err: ErrTooLarge}} {
		t.Run(fmt.Sprint(test.size), func(t *testing.T) {
			packed, err := Compress(make([]byte, test.size))
			if err != nil {
				t.Fatal(err)
			}
			value, err := Decompress(packed, most)
			if !errors.Is(err, test.err) {
				t.Errorf("unpack of %d bytes: %v, want %v", test.size, err, test.err)
			}
			if err == nil && len(value) != test.size {
				t.Errorf("unpacked %d bytes, want %d", len(value), test.size)
			}
		})
	}
}
