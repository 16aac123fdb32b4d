package swlistener

import "time"

// opaqueLineBytes is the length of a header line that is assumed where lines can't be counted, in bytes.
const opaqueLineBytes = 16

// headerScanner counts the bytes and lines of a header, up to the empty line that ends it.
type headerScanner struct {
	bytes, lines int
	// lineEmpty is set while the current line has no byte but a carriage return, begun once the first line has one.
	lineEmpty bool
	ended     bool
}

// scan counts a part of a header, and returns what it added. What follows the header does not count.
func (headerScanner *headerScanner) scan(data []byte, opaque bool) (bytes, lines int) {
	if opaque {
		headerScanner.bytes += len(data)
		headerScanner.lines += len(data) / opaqueLineBytes
		return len(data), len(data) / opaqueLineBytes
	}
	for _, octet := range data {
		if headerScanner.ended {
			break
		}
		bytes++
		switch octet {
		case '\r':
		case '\n':
			lines++
			// Empty lines before a request are ignored.
			headerScanner.ended = headerScanner.lineEmpty && headerScanner.lines+lines > 1
			headerScanner.lineEmpty = true
		default:
			headerScanner.lineEmpty = false
		}
	}
	headerScanner.bytes += bytes
	headerScanner.lines += lines
	return bytes, lines
}

// rateWindow measures the rate of a client over the current interval and the one before.
type rateWindow struct {
	since             time.Time
	current, previous int
}

func (rateWindow *rateWindow) add(now time.Time, count int) {
	rateWindow.rotate(now)
	rateWindow.current += count
}

func (rateWindow *rateWindow) rotate(now time.Time) {
	passed := now.Sub(rateWindow.since)
	if passed < rateInterval {
		return
	}
	rateWindow.previous = rateWindow.current
	if passed >= 2*rateInterval {
		rateWindow.previous = 0
	}
	rateWindow.current, rateWindow.since = 0, now
}

// rate returns the recent rate in bytes per second.
func (rateWindow *rateWindow) rate(now time.Time) float64 {
	rateWindow.rotate(now)
	return float64(rateWindow.current+rateWindow.previous) / (rateInterval + now.Sub(rateWindow.since)).Seconds()
}
