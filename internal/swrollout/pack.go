package swrollout

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// pack compresses a document's value for the way between VMs.
func pack(value []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	return buffer.Bytes(), nil
}

// unpack reverses pack. It refuses values that exceed MaxValue.
func unpack(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	value, err := io.ReadAll(io.LimitReader(reader, MaxValue+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress document")
	}
	if len(value) > MaxValue {
		return nil, ErrTooLarge
	}
	return value, nil
}
