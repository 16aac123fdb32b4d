// Package swpack compresses values that are sent between VMs.
package swpack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLarge means that a decompressed value exceeds the size limit.
var ErrTooLarge = errors.New("value too large")

// Compress compresses a value with DEFLATE.
func Compress(value []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return buffer.Bytes(), nil
}

// Decompress returns the value that Compress compressed. It returns ErrTooLarge if the value is larger than maxSize bytes.
func Decompress(packed []byte, maxSize int) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	value, err := io.ReadAll(io.LimitReader(reader, int64(maxSize)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(value) > maxSize {
		return nil, ErrTooLarge
	}
	return value, nil
}
