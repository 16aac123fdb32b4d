package swpeer

import (
	"bufio"
	"context"
	"crypto/x509"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Method names what a stream is for.
type Method uint8

// The methods of the protocol between VMs.
const (
	// MethodBatch carries sub-requests of one query to the owner of their backend servers.
	MethodBatch Method = 1
	// MethodProbe checks that a peer lives, and exchanges gossip.
	MethodProbe Method = 2
	// MethodGossip pushes records at once.
	MethodGossip Method = 3
	// MethodFetch pulls a document, such as the rules, from a peer.
	MethodFetch Method = 4
	// MethodRun passes a resend of non-idempotent work to the issuer of its key.
	MethodRun Method = 5
	// MethodHandover moves a leaving issuer's keys to its successor.
	MethodHandover Method = 6
	// MethodTokens borrows tokens of a rule's limit from its allocator.
	MethodTokens Method = 7
	// MethodStatus asks a peer for its status.
	MethodStatus Method = 8
	// MethodProbeVia asks a peer to probe another.
	MethodProbeVia Method = 9
	// MethodReport tells a watcher which rules a VM has in force.
	MethodReport Method = 10
	// MethodFollow waits for changes of the platform's objects that a peer knows.
	MethodFollow Method = 11
	// MethodRelay passes an attempt on to a backend server near the peer.
	MethodRelay Method = 12
)

// streamCancelled is the QUIC error code of a withdrawn stream.
const streamCancelled quic.StreamErrorCode = 1

// Stream is one exchange of messages. Send and Receive may run at the same time; each alone is not concurrent.
type Stream struct {
	stream *quic.Stream
	reader *bufio.Reader
	remote *x509.Certificate

	// received is the read buffer, kept between messages.
	received []byte

	mutex  sync.Mutex
	buffer []byte
}

// readerSize is the buffer of a stream's reader in bytes; larger messages are read past it.
const readerSize = 512

func newStream(stream *quic.Stream, remote *x509.Certificate) *Stream {
	return &Stream{stream: stream, reader: bufio.NewReaderSize(stream, readerSize), remote: remote}
}

// PeerName returns the common name in the certificate of the VM at the other end.
func (stream *Stream) PeerName() string {
	if stream.remote == nil {
		return ""
	}
	return stream.remote.Subject.CommonName
}

// Send writes the messages in order in one write. It may be called from several goroutines.
func (stream *Stream) Send(messages ...any) error {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	buffer := stream.buffer[:0]
	for _, message := range messages {
		next, err := appendFrame(buffer, message)
		if err != nil {
			return err
		}
		buffer = next
	}
	stream.buffer = buffer
	_, err := stream.stream.Write(buffer)
	return err
}

// Receive reads the next message. It returns io.EOF after the last.
func (stream *Stream) Receive(message any) error {
	var err error
	stream.received, err = readFrame(stream.reader, stream.received, message)
	return err
}

// CloseSend tells the other end that no more messages follow.
func (stream *Stream) CloseSend() error {
	return stream.stream.Close()
}

// Cancel withdraws the exchange in both directions.
func (stream *Stream) Cancel() {
	stream.stream.CancelRead(streamCancelled)
	stream.stream.CancelWrite(streamCancelled)
}

// SetReadDeadline bounds how long Receive waits.
func (stream *Stream) SetReadDeadline(deadline time.Time) error {
	return stream.stream.SetReadDeadline(deadline)
}

// Context ends when the other end withdraws the exchange or the connection is lost.
func (stream *Stream) Context() context.Context {
	return stream.stream.Context()
}
