package swgateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// minQueueFullRetryAfter is the minimum Retry-After of a request that full replicas rejected; their queues have emptied by then.
const minQueueFullRetryAfter = 150 * time.Millisecond

// writeAnswer writes the answer of the call, or returns the refusal to write instead.
func (call *call) writeAnswer(writer http.ResponseWriter) *Refusal {
	if call.request.route.Gathered() {
		if !call.coverageMet(call.answeredShards) {
			return call.refusal()
		}
		call.writeGathered(writer)
		return nil
	}
	if response := call.shards[0].response; response != nil {
		call.writeResponse(writer, response)
		return nil
	}
	return call.refusal()
}

// refusal returns the response to a client for which there is no answer. Its code states whether the request may have run.
func (call *call) refusal() *Refusal {
	if call.gather.Ran() == swcode.RanNo {
		if refusal := call.handler.checkKey(call.request); refusal != nil {
			return refusal
		}
		refusal := refuseQueueFull(minQueueFullRetryAfter)
		if call.request.route.Gathered() {
			refusal = refuseQueueFull(call.rejectedRetryAfter(time.Now()))
		}
		if !call.rejected && !call.rateLimited && !call.displaced {
			// No replica could be reached.
			refusal.Code = swcode.NoReplica
		}
		return refusal
	}
	if call.timedOut {
		return refuse(http.StatusGatewayTimeout, swcode.DeadlineExceeded)
	}
	return refuse(http.StatusBadGateway, swcode.BackendFailed)
}

// writeResponse forwards a replica's response.
func (call *call) writeResponse(writer http.ResponseWriter, response *swconn.Response) {
	header := writer.Header()
	dropped := connectionHeaders(response.Header)
	for name, values := range response.Header {
		if unforwardedHeaders[name] || dropped[name] {
			continue
		}
		header[name] = values
	}
	if _, given := header["Content-Type"]; !given {
		// A nil value stops net/http from detecting a content type.
		header["Content-Type"] = nil
	}
	switch {
	case call.request.method == http.MethodHead:
		if length := response.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	case response.Status != http.StatusNoContent && response.Status != http.StatusNotModified:
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	writer.WriteHeader(response.Status)
	_, _ = writer.Write(response.Body)
}

// writeGathered merges the answers of the shards.
func (call *call) writeGathered(writer http.ResponseWriter) {
	parts := make([][]byte, 0, call.answeredShards)
	signatures := make([]string, 0, call.answeredShards)
	for i := range call.shards {
		shard := &call.shards[i]
		if shard.answered {
			parts = append(parts, shard.records)
			signatures = append(signatures, shard.info.Signature)
		}
	}
	body := mergeRecords(parts, call.request.route.TopK)
	header := writer.Header()
	call.handler.config.Protocol.WriteGatheredHeaders(header, signatures, len(call.shards)-len(signatures))
	header["Content-Type"] = []string{"application/octet-stream"}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(http.StatusOK)
	if call.request.method != http.MethodHead {
		_, _ = writer.Write(body)
	}
}
