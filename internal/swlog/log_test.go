package swlog

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
)

// blockedPipe blocks writes until it is released.
type blockedPipe struct {
	released chan struct{}
	mutex    sync.Mutex
	lines    bytes.Buffer
}

func (pipe *blockedPipe) Write(data []byte) (int, error) {
	<-pipe.released
	pipe.mutex.Lock()
	defer pipe.mutex.Unlock()
	return pipe.lines.Write(data)
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	pipe := &blockedPipe{released: make(chan struct{})}
	lines := NewNonBlockingWriter(pipe)
	logger, err := New(Config{Out: lines, Level: "info", VM: "vm", DataCentre: "dc"})
	if err != nil {
		t.Fatal(err)
	}
	// The pipe blocks while these lines are logged.
	for i := range 3 * maxBufferedLines {
		logger.Info().Int("Number", i).Msg("line")
	}
	close(pipe.released)
	if err := lines.Close(); err != nil {
		t.Fatal(err)
	}
	dropped, read := 0, 0
	decoder := json.NewDecoder(strings.NewReader(pipe.text()))
	for {
		var line struct {
			Number  *int
			Dropped int
		}
		if err := decoder.Decode(&line); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		dropped += line.Dropped
		if line.Number != nil {
			read++
		}
	}
	if dropped == 0 || dropped+read != 3*maxBufferedLines {
		t.Errorf("%d lines read and %d reported as dropped, of %d written", read, dropped, 3*maxBufferedLines)
	}
}

func (pipe *blockedPipe) text() string {
	pipe.mutex.Lock()
	defer pipe.mutex.Unlock()
	return pipe.lines.String()
}
