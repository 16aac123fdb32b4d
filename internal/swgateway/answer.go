package swgateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// shedRetryAfter is when a request that full replicas rejected may be served: their queues are worked off by then.
const shedRetryAfter = 150 * time.Millisecond

// answer writes what the call came to, or returns the refusal to write.
func (call *call) answer(writer http.ResponseWriter) *Refusal {
	if call.request.route.Gathered() {
		if !call.enough(call.answers) {
			return call.refusal()
		}
		call.writeGathered(writer)
		return nil
	}
	shard := &call.shards[0]
	if shard.answered || shard.response != nil && passable(shard) {
		call.writeResponse(writer, shard.response)
		return nil
	}
	return call.refusal()
}

// passable reports whether a replica's failure may be passed on as it is.
func passable(shard *shardCall) bool {
	return shard.response.Status >= http.StatusInternalServerError && shard.mark.Signature != "" && !shard.mark.NotRun && plainBody(shard.response.Header)
}

// refusal tells the client that there is no answer, and truthfully whether the request may have run.
func (call *call) refusal() *Refusal {
	if call.gather.Ran() == swcode.RanNo {
		return full(shedRetryAfter)
	}
	if call.late {
		return refuse(http.StatusGatewayTimeout, swcode.DeadlineExceeded)
	}
	return refuse(http.StatusBadGateway, swcode.BackendFailed)
}

// writeResponse passes a replica's response on.
func (call *call) writeResponse(writer http.ResponseWriter, response *swconn.Response) {
	header := writer.Header()
	dropped := connectionHeaders(response.Header)
	for name, values := range response.Header {
		if hopHeaders[name] || dropped[name] {
			continue
		}
		header[name] = values
	}
	if _, given := header["Content-Type"]; !given {
		// A nil value keeps net/http from guessing one.
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

// writeGathered merges the shards' answers.
func (call *call) writeGathered(writer http.ResponseWriter) {
	parts := make([][]byte, 0, call.answers)
	signatures := make([]string, 0, call.answers)
	for i := range call.shards {
		shard := &call.shards[i]
		if shard.answered {
			parts = append(parts, shard.response.Body)
			signatures = append(signatures, shard.mark.Signature)
		}
	}
	body := mergeRecords(parts, call.request.route.TopK)
	header := writer.Header()
	call.gateway.config.Protocol.WriteGatheredHeaders(header, signatures, len(call.shards)-len(signatures))
	header["Content-Type"] = []string{"application/octet-stream"}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(http.StatusOK)
	if call.request.method != http.MethodHead {
		_, _ = writer.Write(body)
	}
}
