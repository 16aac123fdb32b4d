// Package swpeer carries typed messages between the VMs of the system over QUIC: CBOR frames on streams, with mutual TLS.
package swpeer

import (
	"encoding/binary"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxFrame is the largest encoded message in bytes.
const MaxFrame = 4 << 20

// frameHeader is the size of a frame's length prefix in bytes.
const frameHeader = 4

var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Marshal encodes a message as it travels between VMs.
func Marshal(message any) ([]byte, error) {
	return encoding.Marshal(message)
}

// Unmarshal decodes a message that Marshal encoded.
func Unmarshal(data []byte, message any) error {
	return decoding.Unmarshal(data, message)
}

func appendFrame(buffer []byte, message any) ([]byte, error) {
	data, err := encoding.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data) > MaxFrame {
		return nil, errors.Errorf("message of %d bytes exceeds the limit of %d", len(data), MaxFrame)
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(data)))
	return append(buffer, data...), nil
}

// keptBuffer is the largest read buffer in bytes that a stream keeps for its next message.
const keptBuffer = 16 << 10

// readFrame reads one message into buffer, grown where it must be, and decodes it. It returns the buffer for the next
// message; nothing in the decoded message refers to it.
func readFrame(reader io.Reader, buffer []byte, message any) ([]byte, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return buffer, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrame {
		return buffer, errors.Errorf("message of %d bytes exceeds the limit of %d", size, MaxFrame)
	}
	data := slices.Grow(buffer[:0], int(size))[:size]
	if size <= keptBuffer {
		buffer = data
	}
	if _, err := io.ReadFull(reader, data); err != nil {
		return buffer, errors.Wrap(err, "read message")
	}
	return buffer, errors.Wrap(decoding.Unmarshal(data, message), "decode message")
}
