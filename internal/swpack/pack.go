// Package swpack compresses what travels between VMs.
package swpack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLarge means that a value exceeds the bound that was given.
var ErrTooLarge = errors.New("value too large")

// Pack compresses a value.
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

// Unpack reverses Pack. It refuses values of more than most bytes.
func Decompress(packed []byte, most int) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	value, err := io.ReadAll(io.LimitReader(reader, int64(most)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(value) > most {
		return nil, ErrTooLarge
	}
	return value, nil
}
