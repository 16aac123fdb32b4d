package swpeer

import (
	"bufio"
	"context"
	"crypto/x509"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Method identifies the handler of a stream. It is the first byte that is sent.
type Method uint8

// The methods of the protocol between VMs.
const (
	// MethodBatch sends batches of sub-requests to the owner of their backend servers, and their answers back.
	MethodBatch Method = 1
	// MethodProbe checks that a peer is alive and exchanges gossip with it.
	MethodProbe Method = 2
	// MethodGossip pushes records to a peer immediately.
	MethodGossip Method = 3
	// MethodFetch fetches a document, such as the rules, from a peer.
	MethodFetch Method = 4
	// MethodRun forwards a non-idempotent request to the VM that holds the table of its key.
	MethodRun Method = 5
	// MethodHandover moves the key table of a leaving issuer to its successor.
	MethodHandover Method = 6
	// MethodTokens borrows tokens of a rule's limit from the VM that allocates them.
	MethodTokens Method = 7
	// MethodStatus asks a peer for its status.
	MethodStatus Method = 8
	// MethodProbeVia asks a peer to probe another VM.
	MethodProbeVia Method = 9
	// MethodReport reports to a watcher which version of the rules a VM has in force, and why it rejected a newer one.
	MethodReport Method = 10
	// MethodFollow waits for changes of the platform's objects that a peer has received.
	MethodFollow Method = 11
	// MethodRelay sends an attempt through a peer to a backend server near it.
	MethodRelay Method = 12
	// MethodLimits borrows uses of limits that all VMs share.
	MethodLimits Method = 13
	// MethodObservations exchanges what VMs have observed of backend servers.
	MethodObservations Method = 14
	// MethodReach asks a peer which data centres' backend servers it reaches.
	MethodReach Method = 15
)

// streamCancelledCode is the QUIC error code of a cancelled stream.
const streamCancelledCode quic.StreamErrorCode = 1

// Stream carries messages in both directions. Send may be called from several goroutines; Receive from one at a time. Send and
// Receive may run at the same time.
type Stream struct {
	stream      *quic.Stream
	reader      *bufio.Reader
	certificate *x509.Certificate

	// receiveBuffer is reused between messages.
	receiveBuffer []byte

	sendMutex  sync.Mutex
	sendBuffer []byte
}

// readerBufferSize is the size of a stream's read buffer in bytes. Larger messages bypass it.
const readerBufferSize = 512

func newStream(stream *quic.Stream, certificate *x509.Certificate) *Stream {
	return &Stream{stream: stream, reader: bufio.NewReaderSize(stream, readerBufferSize), certificate: certificate}
}

// PeerName returns the common name in the peer's certificate, which is the name of its VM.
func (stream *Stream) PeerName() string {
	if stream.certificate == nil {
		return ""
	}
	return stream.certificate.Subject.CommonName
}

// Send writes the messages in order with a single write.
func (stream *Stream) Send(messages ...any) error {
	stream.sendMutex.Lock()
	defer stream.sendMutex.Unlock()
	buffer := stream.sendBuffer[:0]
	for _, message := range messages {
		next, err := appendFrame(buffer, message)
		if err != nil {
			return err
		}
		buffer = next
	}
	stream.sendBuffer = buffer
	_, err := stream.stream.Write(buffer)
	return err
}

// Receive reads the next message. It returns io.EOF after the last one.
func (stream *Stream) Receive(message any) error {
	var err error
	stream.receiveBuffer, err = readFrame(stream.reader, stream.receiveBuffer, message)
	return err
}

// CloseSend closes the sending direction. The peer's Receive then returns io.EOF.
func (stream *Stream) CloseSend() error {
	return stream.stream.Close()
}

// Cancel aborts the stream in both directions.
func (stream *Stream) Cancel() {
	stream.stream.CancelRead(streamCancelledCode)
	stream.stream.CancelWrite(streamCancelledCode)
}

// SetReadDeadline sets the deadline of Receive.
func (stream *Stream) SetReadDeadline(deadline time.Time) error {
	return stream.stream.SetReadDeadline(deadline)
}

// Context ends when the peer cancels the stream or the connection is lost.
func (stream *Stream) Context() context.Context {
	return stream.stream.Context()
}
