// Package swpeer is the transport between the VMs of the system. It sends typed messages over QUIC with mutual TLS: each message
// is a CBOR value in a length-prefixed frame on a stream. A call is a stream with one request and one reply.
package swpeer

import (
	"encoding/binary"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxFrame is the largest size of an encoded message in bytes.
const MaxFrame = 4 << 20

// frameHeaderSize is the size of a frame's length prefix in bytes.
const frameHeaderSize = 4

var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decMode limits the nesting and the size of decoded values.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Marshal encodes a message in the form that is sent between VMs.
func Marshal(message any) ([]byte, error) {
	return encMode.Marshal(message)
}

// Unmarshal decodes a message that Marshal encoded.
func Unmarshal(data []byte, message any) error {
	return decMode.Unmarshal(data, message)
}

// appendFrame appends the frame of a message to buffer.
func appendFrame(buffer []byte, message any) ([]byte, error) {
	data, err := encMode.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data) > MaxFrame {
		return nil, errors.Errorf("message of %d bytes exceeds the limit of %d", len(data), MaxFrame)
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(data)))
	return append(buffer, data...), nil
}

// maxKeptBuffer is the largest receive buffer in bytes that a stream reuses for its next message. Larger buffers are not
// kept.
const maxKeptBuffer = 16 << 10

// readFrame reads one message into buffer, which it grows if necessary, and decodes it. It returns the buffer for the next
// message. The decoded message holds no reference to the buffer.
func readFrame(reader io.Reader, buffer []byte, message any) ([]byte, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return buffer, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrame {
		return buffer, errors.Errorf("message of %d bytes exceeds the limit of %d", size, MaxFrame)
	}
	data := slices.Grow(buffer[:0], int(size))[:size]
	if size <= maxKeptBuffer {
		buffer = data
	}
	if _, err := io.ReadFull(reader, data); err != nil {
		return buffer, errors.Wrap(err, "read message")
	}
	return buffer, errors.Wrap(decMode.Unmarshal(data, message), "decode message")
}
