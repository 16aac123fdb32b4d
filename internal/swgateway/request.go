package swgateway

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorewall/sycamorewall/internal/swlistener"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swshare"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// request is a client request with what the Handler has determined about it. The request of a refusal may be incomplete.
type request struct {
	id     string
	method string
	// target is the path and query as the client sent them.
	target string
	host   string
	table  *swroute.Table
	route  *swroute.Route
	// key is the key that the client sent, and tenant its holder in table; nil if the request needs no key. The key is secret.
	key    string
	tenant *swroute.Tenant
	// homes caches the regions that may serve the request by the latest table that was asked.
	homes atomic.Pointer[requestHomes]
	// quotaUse is the use of the tenant's quota that the request holds; nil if it has none.
	quotaUse *quotaUse
	// claim decides when the request goes before others, and work is its estimated work; both are zero if there are no tenants. started is set
	// when it was first sent.
	claim   swshare.Claim[string]
	work    time.Duration
	started bool
	// othersAhead is the number of other tenants' requests that went before this one when it was refused for lack of capacity. shareAdmitted is
	// the fraction of the tenant's searches that were admitted when this one was refused.
	othersAhead   int
	shareAdmitted float64
	// service is the service of a route that is not gathered, once it is chosen.
	service string
	// head is the encoded request line with the headers that are the same for all attempts.
	head []byte
	body []byte
	// fingerprint identifies the request independently of its ID.
	fingerprint uint64
	// caller is the client's name in rules; empty if there are no rules.
	caller string
	// ruleVersion is the version of the rules that were applied, zero if there are none; decision is their result.
	ruleVersion uint64
	decision    swrule.Decision
	arrivedAt   time.Time
	// deadline is when the timeout of the client, or a shorter one of the route or rule, expires.
	deadline time.Time
	// clientRetry is set if the client has tried before.
	clientRetry bool
	// unreachableServices lists the services of a refused request that have no available replica.
	unreachableServices []string
	// sendings records on which connections the request was sent. A search does not need it, as it asks each replica at most once.
	sendings swreplica.Sendings
	// earlierAttempts are those that were sent before the request was requeued.
	earlierAttempts []attemptRecord
	// answerBy is when the answer must be sent to meet the route's target latency; the zero time if the route has none.
	answerBy time.Time
}

// unforwardedHeaders are not copied between client and replica: hop-by-hop headers, Expect, which net/http answers, and those
// that the Handler writes itself.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// originForm returns the path and query of a request as the client sent them, or an empty string if there is no path.
func originForm(httpRequest *http.Request) string {
	if strings.HasPrefix(httpRequest.RequestURI, "/") {
		return httpRequest.RequestURI
	}
	if httpRequest.URL.IsAbs() {
		return httpRequest.URL.RequestURI()
	}
	return ""
}

// pathOf returns the path of a request target, without the query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// headerSize returns the size of a request's line and headers in bytes, as the client sent them apart from folded white space.
func headerSize(httpRequest *http.Request) int {
	const separators = len(": \r\n")
	size := len(httpRequest.Method) + len(httpRequest.RequestURI) + len(httpRequest.Host)
	for name, values := range httpRequest.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// readBody reads the whole body within the limits.
func readBody(writer http.ResponseWriter, httpRequest *http.Request, limits swroute.Limits) ([]byte, *Refusal) {
	if httpRequest.Body == nil || httpRequest.Body == http.NoBody {
		return nil, nil
	}
	if limits.MaxBodyBytes > 0 {
		if httpRequest.ContentLength > limits.MaxBodyBytes {
			return nil, refuse(http.StatusRequestEntityTooLarge, swcode.BodyTooLarge)
		}
		httpRequest.Body = http.MaxBytesReader(writer, httpRequest.Body, limits.MaxBodyBytes)
	}
	control := http.NewResponseController(writer)
	if limits.HeaderTimeout > 0 {
		if err := control.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
			return nil, refuse(http.StatusInternalServerError, swcode.Internal)
		}
	}
	body, err := readGrowing(httpRequest.Body, httpRequest.ContentLength)
	if limits.HeaderTimeout > 0 {
		if resetErr := control.SetReadDeadline(time.Time{}); err == nil {
			err = resetErr
		}
	}
	return body, bodyRefusal(err)
}

func bodyRefusal(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, swlistener.ErrFull):
		return refuseTooManyClients()
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, swcode.BodyTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, swcode.BadRequest)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return refuse(http.StatusBadRequest, swcode.BadRequest)
	}
	return refuse(http.StatusBadRequest, swcode.BadRequest)
}

// encodeHead encodes the request line and the headers that are the same for all attempts.
func encodeHead(protocol Protocol, httpRequest *http.Request, request *request) []byte {
	head := make([]byte, 0, 512)
	head = append(head, httpRequest.Method...)
	head = append(head, ' ')
	head = append(head, request.target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, httpRequest.Host...)
	head = append(head, "\r\n"...)
	dropped := connectionHeaders(httpRequest.Header)
	for name, values := range httpRequest.Header {
		if unforwardedHeaders[name] || dropped[name] || protocol.IsAttemptHeader(name) || request.table.HasTenants() && protocol.IsTenantHeader(name) {
			continue
		}
		for _, value := range values {
			head = appendHeader(head, name, value)
		}
	}
	if request.tenant != nil {
		head = protocol.AppendTenantHeader(head, request.tenant.Name)
	}
	if len(request.body) > 0 || httpRequest.ContentLength != 0 {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(request.body)), 10)
		head = append(head, "\r\n"...)
	}
	return head
}

func appendHeader(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}

// connectionHeaders returns the headers that the Connection header names.
func connectionHeaders(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// contentFingerprint returns a hash of the request's content that is independent of the client and of the attempt. Replicas may treat the same
// content differently for each tenant, so a crash that one tenant's request causes must not put those of others into quarantine.
func (request *request) contentFingerprint() uint64 {
	digest := xxhash.New()
	texts := []string{request.method, request.host, request.target}
	if request.tenant != nil {
		texts = append(texts, request.tenant.Name)
	}
	for _, text := range texts {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.body)
	return digest.Sum64()
}
