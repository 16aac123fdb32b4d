package swlabload

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// maxInFlight bounds the requests of a stream in flight. Further requests wait, and their latency includes the wait.
	maxInFlight = 4096
	// resolution, maxLatency and significantFigures configure the latency histograms.
	resolution         = time.Microsecond
	maxLatency         = time.Minute
	significantFigures = 3
	// answerGrace is how long a caller waits for an answer after the request's timeout.
	answerGrace = 2 * time.Second
)

// Stream describes the requests of one kind that one caller sends.
type Stream struct {
	Priority swrule.Priority
	Caller   string
	Kind     string
	Index    string
	// RatePerSecond is the mean number of requests per second.
	RatePerSecond float64
	// Queries are the query texts, which are used in turn.
	Queries []string
	Limit   int
	Timeout time.Duration
	// MinCoverage is the minimum coverage requested; zero requests full coverage.
	MinCoverage float64
	// NonIdempotent sends non-idempotent work under keys issued by VMs, and sends each request twice through different VMs.
	NonIdempotent bool
	// CallerKeys makes non-idempotent work use keys that the caller chooses instead of issued ones.
	CallerKeys bool
	// MaxResends is how often a search is sent again when its answer is not whole.
	MaxResends int
	// StartAfter and StopAfter limit the stream to a part of the run, measured from its start. Zero values are the start
	// and the end of the run.
	StartAfter time.Duration
	StopAfter  time.Duration
	// Untagged sends the query texts without a tag, so that all requests with the same text are identical.
	Untagged bool
}

// Result is one send of a request, with its answer.
type Result struct {
	Stream *Stream
	// Tag identifies the request in the query text, and Query is the text that was sent, including the tag.
	Tag    string
	Query  string
	Target string
	// RequestID is the ID that the answer must echo.
	RequestID string
	// Key is the key of a run, and empty for a search.
	Key string
	// DueAt is when the request was due, SentAt when it was sent, and Latency the time from DueAt to the answer. Measuring
	// from DueAt includes the wait of requests that a slow system holds up.
	DueAt   time.Time
	SentAt  time.Time
	Latency time.Duration
	// FirstSend and LastSend are set for the first and the last send under one tag. Each resend of a search has a tag of its
	// own; only the first one has FirstSend set.
	FirstSend bool
	LastSend  bool
	Status    int
	Answer    swclient.SearchReply
	// Err is set when no answer arrived.
	Err error
}

// Whole reports whether the answer covers all documents of its snapshot.
func (result *Result) Whole() bool {
	return result.Err == nil && result.Answer.Code == swcode.OK && result.Answer.Coverage.Documents == result.Answer.Coverage.Of
}

// EndedAt returns when the answer arrived.
func (result *Result) EndedAt() time.Time {
	return result.DueAt.Add(result.Latency)
}

// Config configures Run.
type Config struct {
	Balancer *Balancer
	Streams  []*Stream
	Duration time.Duration
	// StopContext, if set, ends the load in place of Duration. Requests in flight still complete.
	StopContext context.Context
	// ClientDelay is added in each direction between callers and VMs.
	ClientDelay time.Duration
	Seed        uint64
	// OnResult, if set, is called with every result, from several goroutines at once.
	OnResult func(result Result)
}

// Line sums up the requests of one stream.
type Line struct {
	Priority swrule.Priority
	Caller   string
	Kind     string
	Sent     int64
	// Whole counts whole answers, Partial other answers with code OK, and Refused requests that did not run.
	Whole   int64
	Partial int64
	Refused int64
	// Failed counts answers with other codes, and Broken requests that got no answer.
	Failed int64
	Broken int64
	// Coverage is the mean coverage of the answers, as a fraction.
	Coverage float64
	P50      Milliseconds
	P99      Milliseconds
	P999     Milliseconds
	// Codes counts the answers by the name of their code.
	Codes map[string]int64
}

// Milliseconds is a duration in milliseconds, as tables and JSON show it.
type Milliseconds float64

func milliseconds(value int64) Milliseconds {
	return Milliseconds(float64(value) * float64(resolution) / float64(time.Millisecond))
}

// streamTotals accumulates the results of one stream.
type streamTotals struct {
	mutex     sync.Mutex
	line      Line
	answered  int64
	coverage  float64
	histogram *hdrhistogram.Histogram
}

// Run sends the load, waits for all answers and returns one line for each stream.
func Run(ctx context.Context, config Config) []Line {
	group := swgroup.New(ctx)
	totals := make([]*streamTotals, len(config.Streams))
	for i, stream := range config.Streams {
		totals[i] = &streamTotals{
			line: Line{
				Priority: stream.Priority, Caller: stream.Caller, Kind: stream.Kind, Codes: make(map[string]int64),
			},
			histogram: hdrhistogram.New(1, int64(maxLatency/resolution), significantFigures),
		}
		sender := &sender{
			config: &config, stream: stream, totals: totals[i], streamNumber: i, group: group,
			inFlight: make(chan struct{}, maxInFlight),
			random:   rand.New(rand.NewPCG(config.Seed, uint64(i))),
		}
		group.Go(sender.run)
	}
	group.Wait()
	lines := make([]Line, len(totals))
	for i, streamTotals := range totals {
		lines[i] = streamTotals.finish()
	}
	return lines
}

// sender sends the requests of one stream.
type sender struct {
	config       *Config
	stream       *Stream
	totals       *streamTotals
	streamNumber int
	group        *swgroup.Group
	inFlight     chan struct{}
	random       *rand.Rand
	sentCount    atomic.Int64
	keys         keyCache
}

// run starts each request when it is due. The times between requests are exponentially distributed.
func (sender *sender) run(ctx context.Context) {
	begin := time.Now()
	until := sender.config.Duration
	if sender.config.StopContext != nil {
		until = math.MaxInt64
		ctx = sender.config.StopContext
	}
	if sender.stream.StopAfter > 0 {
		until = min(until, sender.stream.StopAfter)
	}
	due := begin.Add(sender.stream.StartAfter)
	for {
		due = due.Add(time.Duration(sender.random.ExpFloat64() / sender.stream.RatePerSecond * float64(time.Second)))
		if due.Sub(begin) > until || !sleepUntil(ctx, due) {
			return
		}
		select {
		case sender.inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		dueAt, number := due, sender.sentCount.Add(1)
		sender.group.Go(func(ctx context.Context) {
			defer func() { <-sender.inFlight }()
			sender.send(ctx, dueAt, number)
		})
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return swtimer.Wait(ctx, wait) == nil
}

func (sender *sender) send(ctx context.Context, dueAt time.Time, number int64) {
	result := Result{Stream: sender.stream, DueAt: dueAt, FirstSend: true, LastSend: true}
	if sender.stream.NonIdempotent {
		sender.sendRun(ctx, number, result)
		return
	}
	for attempt := range sender.stream.MaxResends + 1 {
		result.FirstSend = attempt == 0
		sender.post(ctx, swclient.PathSearch, sender.newRequest(number, attempt, &result), &result)
		if attempt < sender.stream.MaxResends && !result.Whole() {
			sender.reportResult(result)
			continue
		}
		break
	}
	sender.finish(result)
}

// newRequest creates a request and records its tag, query and ID in the result.
func (sender *sender) newRequest(number int64, attempt int, result *Result) swclient.SearchRequest {
	stream := sender.stream
	query := stream.Queries[int(number)%len(stream.Queries)]
	result.Tag = fmt.Sprintf("%d-%d-%d", sender.streamNumber, number, attempt)
	if !stream.Untagged {
		query += " tag:" + result.Tag
	}
	result.Query, result.RequestID = query, result.Tag
	request := swclient.SearchRequest{
		Caller: stream.Caller, Kind: stream.Kind, Index: stream.Index, Query: query, Limit: stream.Limit,
		Timeout: swclient.Duration(stream.Timeout), RequestID: result.RequestID,
	}
	if stream.MinCoverage > 0 {
		request.MinCoverage = &stream.MinCoverage
	}
	return request
}

func (sender *sender) finish(result Result) {
	sender.totals.add(&result)
	sender.reportResult(result)
}

func (sender *sender) reportResult(result Result) {
	if sender.config.OnResult != nil {
		sender.config.OnResult(result)
	}
}

// post sends a request to a VM that the balancer picks.
func (sender *sender) post(ctx context.Context, path string, request any, result *Result) {
	ctx, cancel := context.WithTimeout(ctx, sender.stream.Timeout+2*sender.config.ClientDelay+answerGrace)
	defer cancel()
	target := sender.config.Balancer.Pick()
	result.Target = target.Name
	result.Answer = swclient.SearchReply{}
	sleepUntil(ctx, time.Now().Add(sender.config.ClientDelay))
	result.SentAt = time.Now()
	result.Status, result.Err = sender.config.Balancer.Post(ctx, target, path, request, &result.Answer)
	sleepUntil(ctx, time.Now().Add(sender.config.ClientDelay))
	result.Latency = time.Since(result.DueAt)
}

func (streamTotals *streamTotals) add(result *Result) {
	streamTotals.mutex.Lock()
	defer streamTotals.mutex.Unlock()
	line := &streamTotals.line
	line.Sent++
	switch {
	case result.Err != nil:
		line.Broken++
		return
	case result.Whole():
		line.Whole++
		_ = streamTotals.histogram.RecordValue(min(int64(result.Latency/resolution), int64(maxLatency/resolution)))
	case result.Answer.Code == swcode.OK:
		line.Partial++
	case result.Answer.Ran == swcode.RanNo:
		line.Refused++
	default:
		line.Failed++
	}
	line.Codes[result.Answer.Code.String()]++
	if result.Answer.Code == swcode.OK {
		streamTotals.answered++
		streamTotals.coverage += result.Answer.Coverage.Fraction()
	}
}

func (streamTotals *streamTotals) finish() Line {
	line := streamTotals.line
	if streamTotals.answered > 0 {
		line.Coverage = streamTotals.coverage / float64(streamTotals.answered)
	}
	line.P50 = milliseconds(streamTotals.histogram.ValueAtQuantile(50))
	line.P99 = milliseconds(streamTotals.histogram.ValueAtQuantile(99))
	line.P999 = milliseconds(streamTotals.histogram.ValueAtQuantile(99.9))
	return line
}
