package swgateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestStatusThatIsNoneIsNotBelieved guards against a response whose status code no sound server sends: it must reach no client, and its statement that
// the request has not run must not count, so that a request which may run once is sent once.
func TestStatusThatIsNoneIsNotBelieved(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-01", "+12", "0x1"} {
		for _, header := range []string{"", "Not-Run: 1\r\n"} {
			t.Run(status+" "+header, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					testHandler := newTestHandler(t, 1)
					defer testHandler.close()
					testHandler.setRoute(nonIdempotentRoute())
					var replicas []*testReplica
					for _, id := range []string{"a", "b"} {
						replicas = append(replicas, testHandler.addReplica("s", id, func(receivedRequest *receivedRequest) {
							fmt.Fprintf(receivedRequest.conn, "HTTP/1.1 %s X\r\nId: %s\r\nSignature: x\r\n%sContent-Length: 0\r\n\r\n", status, receivedRequest.Header.Get("Id"), header)
						}))
					}
					response := testHandler.send(t.Context(), http.MethodPost, "/x", "body")
					got := []int{response.Code, replicas[0].count() + replicas[1].count()}
					if diff := cmp.Diff([]int{http.StatusBadGateway, 1}, got); diff != "" {
						t.Error("status and requests at replicas (-want +got):\n" + diff)
					}
				})
			})
		}
	}
}
