package swconn

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter bounds the time for which a server may ask to be left alone. A larger value is taken for a mistake.
const MaxRetryAfter = time.Hour

// RetryAfter returns the longest valid number of seconds in the Retry-After fields of a header, at most MaxRetryAfter, or zero if there is none.
// Dates are ignored: the server's clock may differ from this VM's.
func RetryAfter(header http.Header) time.Duration {
	longest := time.Duration(0)
	for _, value := range header.Values("Retry-After") {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(seconds > 0) {
			continue
		}
		longest = max(longest, time.Duration(min(seconds, MaxRetryAfter.Seconds())*float64(time.Second)))
	}
	return longest
}
