package swconn

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// joinableResponses are responses of each kind and framing, with the request's ID first, last and missing.
var joinableResponses = []string{
	"HTTP/1.1 503 Service Unavailable\r\nId: a\r\nDate: Sun, 06 Dec 2026 09:10:00 GMT\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nDate: Sun, 06 Dec 2026 09:10:00 GMT\r\nContent-Length: 4\r\nId: b\r\n\r\nfull",
	"HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\nfull, now",
	"HTTP/1.1 421 Misdirected Request\r\nId: c\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: d\r\nSignature: s\r\nContent-Length: 20\r\n\r\n0123456789abcdefghij",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\nId: e\r\n\r\n5\r\n01234\r\n3\r\n567\r\n0\r\nSum: 8\r\n\r\n",
	"HTTP/1.1 500 Internal Server Error\r\nSignature: s\r\nId: f\r\nContent-Length: 6\r\n\r\nbroken",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: g\r\nSignature: s\r\nContent-Length: 3\r\n\r\nxyz",
	"HTTP/1.0 204 No Content\r\nId: h\r\n\r\n",
	"HTTP/1.1 404 Not Found\r\nConnection: close\r\nId: i\r\nSignature: s\r\nContent-Length: 1\r\n\r\n?",
}

// readOne returns what a reader believes to be the first response in a text, or nil.
func readOne(text string) *Response {
	response, err := NewReader(strings.NewReader(text), Limits{}).ReadResponse(http.MethodPost)
	if err != nil {
		return nil
	}
	return response
}

// TestJoinedResponsesAreNotBelieved guards against a response that is made of the beginning of one and of the next one, such as a late copy of a
// rejection that is cut short in front of an answer (review case 6): it could say "not run" for a request that has run.
func TestJoinedResponsesAreNotBelieved(t *testing.T) {
	for i, first := range joinableResponses {
		for cut := 1; cut < len(first); cut++ {
			for _, second := range joinableResponses {
				got := readOne(first[:cut] + second)
				if got == nil {
					continue
				}
				// A whole interim response may stand in front of any other.
				if diff := cmp.Diff(fmt.Sprint(readOne(second)), fmt.Sprint(got)); diff != "" {
					t.Errorf("response %d, cut after %d bytes (%q), and %q became %d %v %q", i, cut, first[max(0, cut-10):cut], second[:20], got.Status, got.Header, got.Body)
				}
			}
		}
	}
}

// FuzzJoinedHeads checks for any two responses that the beginning of the first one's head and the second one make no head that is that of neither.
func FuzzJoinedHeads(f *testing.F) {
	for _, first := range joinableResponses {
		for _, second := range joinableResponses {
			f.Add(first, uint(len(first)/3), second)
		}
	}
	head := func(response *Response) string { return fmt.Sprint(response.Status, response.Header) }
	f.Fuzz(func(t *testing.T, first string, cut uint, second string) {
		end := strings.Index(first, "\r\n\r\n")
		firstAlone, secondAlone := readOne(first), readOne(second)
		if end < 0 || cut > uint(end) || firstAlone == nil || secondAlone == nil || !strings.HasPrefix(second, "HTTP/1.") {
			return
		}
		got := readOne(first[:cut] + second)
		if got != nil && head(got) != head(firstAlone) && head(got) != head(secondAlone) {
			t.Errorf("%q and %q became %s", first[:cut], second, head(got))
		}
	})
}
