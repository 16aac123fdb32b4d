package swconn

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// manyFields returns a header of distinct short fields with that many bytes, without the empty line at its end.
func manyFields(size int) string {
	var header strings.Builder
	header.WriteString(okHeader)
	for number := 0; header.Len() < size; number++ {
		fmt.Fprintf(&header, "%x:\r\n", number)
	}
	return header.String()
}

// stallingReader is a server that sends a text and then nothing.
type stallingReader struct {
	text  io.Reader
	ended <-chan struct{}
}

func (stallingReader *stallingReader) Read(data []byte) (int, error) {
	if read, err := stallingReader.text.Read(data); err == nil {
		return read, nil
	}
	<-stallingReader.ended
	return 0, io.ErrUnexpectedEOF
}

// TestUnfinishedResponsesFitTheMemory replays servers in trouble that hold many responses open at once, with as much in each as is read.
// Small responses are read meanwhile.
func TestUnfinishedResponsesFitTheMemory(t *testing.T) {
	const (
		connections = 400
		// A VM of 184 MB gives an eighth of it to responses.
		memoryLimit = 184_000_000 / 8
	)
	for name, text := range map[string]string{
		"header":                     manyFields(defaultMaxHeader - readBufferSize),
		"header, then a body":        manyFields(defaultMaxHeader-readBufferSize) + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 120_000),
		"large header field":         okHeader + "X: " + strings.Repeat("x", defaultMaxHeader-readBufferSize),
		"body":                       okHeader + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 120_000),
		"chunks":                     okHeader + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 1<<12)+"\r\n", 30),
		"body beyond all that fits":  okHeader + "Content-Length: 8000000\r\n\r\n" + strings.Repeat("x", 7_900_000),
		"interim responses, header":  strings.Repeat("HTTP/1.1 103 X\r\nLink: y\r\n\r\n", defaultMaxInterim) + manyFields(defaultMaxHeader/2),
		"small responses, each held": okHeader + "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 900),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before := liveHeap()
				limits := Limits{Memory: NewMemory(memoryLimit)}
				group := swgroup.New(context.Background())
				ended := make(chan struct{})
				for range connections {
					group.Go(func(context.Context) {
						reader := NewReader(&stallingReader{text: strings.NewReader(text), ended: ended}, limits)
						if _, err := reader.ReadResponse("GET"); err == nil {
							t.Error("an unfinished response was returned")
						}
					})
				}
				synctest.Wait()
				// A connection may hold freeSize without counting, twice that while a buffer grows, and its read buffer.
				most := uint64(memoryLimit + connections*(2*freeSize+2*readBufferSize))
				if held := liveHeap() - before; held > most {
					t.Errorf("%d connections hold %d bytes, want at most %d", connections, held, most)
				}
				small := okHeader + "Content-Length: 400\r\n\r\n" + strings.Repeat("x", 400)
				if _, err := NewReader(strings.NewReader(small), limits).ReadResponse("GET"); err != nil {
					t.Errorf("a small response beside them: %v", err)
				}
				close(ended)
				group.Stop()
				if diff := cmp.Diff(int64(0), limits.Memory.used.Load()); diff != "" {
					t.Error("still counted (-want +got):\n" + diff)
				}
			})
		})
	}
}

// liveHeap returns the bytes that are in use on the heap.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestCompleteResponsesCountUntilTheyAreReleased checks that the responses that a search or a relay holds count as those that are being read.
func TestCompleteResponsesCountUntilTheyAreReleased(t *testing.T) {
	large := okHeader + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000)
	limits := Limits{Memory: NewMemory(1 << 20)}
	var held []*Response
	for {
		response, err := NewReader(strings.NewReader(large), limits).ReadResponse("GET")
		if err != nil {
			if !ExceedsLimit(err) {
				t.Fatal(err)
			}
			break
		}
		held = append(held, response)
	}
	if len(held) < 3 || len(held) > 5 {
		t.Errorf("%d responses of 200 kB fit into 1 MB, want 3 to 5", len(held))
	}
	for _, response := range held {
		response.Release()
		response.Release()
	}
	if diff := cmp.Diff(int64(0), limits.Memory.used.Load()); diff != "" {
		t.Error("still counted (-want +got):\n" + diff)
	}
}

// TestDroppedResponseGivesItsMemoryBack checks a response that nobody released, such as one that arrived after its request had ended.
func TestDroppedResponseGivesItsMemoryBack(t *testing.T) {
	limits := Limits{Memory: NewMemory(1 << 20)}
	large := okHeader + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000)
	if _, err := NewReader(strings.NewReader(large), limits).ReadResponse("GET"); err != nil {
		t.Fatal(err)
	}
	for limits.Memory.used.Load() != 0 {
		runtime.GC()
		runtime.Gosched()
	}
}

// TestSmallChunksEndAtABoundOfFraming replays a server that sends a body in chunks of a byte, each of which costs as much work as one of
// kilobytes.
func TestSmallChunksEndAtABoundOfFraming(t *testing.T) {
	for name, test := range map[string]struct {
		chunk    string
		exceeded bool
	}{
		"chunks of a byte":       {"1\r\nx\r\n", true},
		"chunks of four bytes":   {"4\r\nxxxx\r\n", true},
		"chunks of 64 bytes":     {"40\r\n" + strings.Repeat("x", 64) + "\r\n", false},
		"few chunks of one byte": {"1\r\nx\r\n" + "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			source := newEndlessReader(okHeader+"Transfer-Encoding: chunked\r\n\r\n", test.chunk)
			_, err := NewReader(source, Limits{}).ReadResponse("GET")
			var limitError *LimitError
			if !errors.As(err, &limitError) {
				t.Fatalf("ended with %v, want a LimitError", err)
			}
			want := "the body"
			if test.exceeded {
				want = "the framing of the body"
			}
			if diff := cmp.Diff(want, limitError.Exceeded); diff != "" {
				t.Error("exceeded (-want +got):\n" + diff)
			}
			// The content may be a fraction of the framing.
			if most := 4 * maxFraming; test.exceeded && source.read > most {
				t.Errorf("%d bytes were read, want at most %d", source.read, most)
			}
		})
	}
}
