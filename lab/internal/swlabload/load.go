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
	// maxOutstanding is the number of requests of a stream under way at once; the next ones wait, and their wait is
	// part of their latency.
	maxInFlight = 4096
	// resolution of histograms, their upper bound and their significant figures.
	resolution         = time.Microsecond
	maxLatency         = time.Minute
	significantFigures = 3
	// grace is how long past its timeout a caller waits for an answer.
	answerGrace = 2 * time.Second
)

// Stream is one kind of work that one caller sends.
type Stream struct {
	Priority swrule.Priority
	Caller   string
	Kind     string
	Index    string
	// Rate is the number of requests a second.
	RatePerSecond float64
	// Queries are sent in turn.
	Queries []string
	Limit   int
	Timeout time.Duration
	// MinCoverage is the least coverage asked for; one when zero.
	MinCoverage float64
	// Run sends non-idempotent work under keys of the tier, each twice through different VMs.
	NonIdempotent bool
	// OwnKeys sends non-idempotent work under keys of the caller's own.
	CallerKeys bool
	// Resend sends a request again when its connection broke, as callers of a crashing request do.
	MaxResends int
	// Burst limits the stream to a part of the run; zero values are the run's start and end.
	StartAfter time.Duration
	StopAfter  time.Duration
	// Repeat keeps the query text the same for all requests, without a tag.
	Untagged bool
}

// Result is one request with its answer.
type Result struct {
	Stream *Stream
	// Tag names the request in the query text, and Query is the whole text that was sent.
	Tag    string
	Query  string
	Target string
	// RequestID is the ID that the answer has to echo.
	RequestID string
	Key       string
	// Intended is when the request was due, Sent when it was sent, and Latency the time from when it was due to the answer.
	DueAt   time.Time
	SentAt  time.Time
	Latency time.Duration
	// First and Last tell the sendings of one piece of work apart.
	FirstSend bool
	LastSend  bool
	Status    int
	Answer    swclient.SearchReply
	// Err is set when no answer came.
	Err error
}

// Whole reports whether the answer is whole.
func (result *Result) Whole() bool {
	return result.Err == nil && result.Answer.Code == swcode.OK && result.Answer.Coverage.Documents == result.Answer.Coverage.Of
}

// Ended returns when the answer came.
func (result *Result) EndedAt() time.Time {
	return result.DueAt.Add(result.Latency)
}

// Config holds what a run of load is built from.
type Config struct {
	Balancer *Balancer
	Streams  []*Stream
	Duration time.Duration
	// Until ends the load in place of Duration when it is set; requests under way go on.
	StopContext context.Context
	// ClientDelay is added to each way between callers and VMs.
	ClientDelay time.Duration
	Seed        uint64
	// Observe sees every result; it is called from many goroutines.
	OnResult func(result Result)
}

// Line sums up the requests of one priority and caller.
type Line struct {
	Priority swrule.Priority
	Caller   string
	Kind     string
	Sent     int64
	Whole    int64
	Partial  int64
	Refused  int64
	// Failed counts answers with other codes, and Broken those that never came.
	Failed int64
	Broken int64
	// Coverage is the mean over answers.
	Coverage float64
	P50      Milliseconds
	P99      Milliseconds
	P999     Milliseconds
	// Codes counts the answers by name of their code.
	Codes map[string]int64
}

// Milliseconds is a duration as tables and JSON give it.
type Milliseconds float64

func milliseconds(value int64) Milliseconds {
	return Milliseconds(float64(value) * float64(resolution) / float64(time.Millisecond))
}

// tally collects the results of one stream.
type streamTotals struct {
	mutex     sync.Mutex
	line      Line
	answered  int64
	coverage  float64
	histogram *hdrhistogram.Histogram
}

// Run sends the load until the duration has passed and every answer has come, and returns a line for each stream.
func Run(ctx context.Context, config Config) []Line {
	group := swgroup.New(ctx)
	tallies := make([]*streamTotals, len(config.Streams))
	for i, stream := range config.Streams {
		tallies[i] = &streamTotals{
			line: Line{
				Priority: stream.Priority, Caller: stream.Caller, Kind: stream.Kind, Codes: make(map[string]int64),
			},
			histogram: hdrhistogram.New(1, int64(maxLatency/resolution), significantFigures),
		}
		sender := &sender{
			config: &config, stream: stream, tally: tallies[i], number: i, group: group,
			inFlight: make(chan struct{}, maxInFlight),
			random:   rand.New(rand.NewPCG(config.Seed, uint64(i))),
		}
		group.Go(sender.run)
	}
	group.Wait()
	lines := make([]Line, len(tallies))
	for i, streamTotals := range tallies {
		lines[i] = streamTotals.finish()
	}
	return lines
}

// sender sends the requests of one stream.
type sender struct {
	config    *Config
	stream    *Stream
	tally     *streamTotals
	number    int
	group     *swgroup.Group
	inFlight  chan struct{}
	random    *rand.Rand
	sentCount atomic.Int64
	keys      keyCache
}

// run starts each request at its due time; times between requests are exponential.
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
		intended, number := due, sender.sentCount.Add(1)
		sender.group.Go(func(ctx context.Context) {
			defer func() { <-sender.inFlight }()
			sender.send(ctx, intended, number)
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

func (sender *sender) send(ctx context.Context, intended time.Time, number int64) {
	result := Result{Stream: sender.stream, DueAt: intended, FirstSend: true, LastSend: true}
	if sender.stream.NonIdempotent {
		sender.sendRun(ctx, number, result)
		return
	}
	for attempt := range sender.stream.MaxResends + 1 {
		result.FirstSend = attempt == 0
		sender.post(ctx, swclient.PathSearch, sender.newRequest(number, attempt, &result), &result)
		if attempt < sender.stream.MaxResends && !result.Whole() {
			sender.observe(result)
			continue
		}
		break
	}
	sender.finish(result)
}

// request makes the request of a number and names it in the result.
func (sender *sender) newRequest(number int64, attempt int, result *Result) swclient.SearchRequest {
	stream := sender.stream
	query := stream.Queries[int(number)%len(stream.Queries)]
	result.Tag = fmt.Sprintf("%d-%d-%d", sender.number, number, attempt)
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
	sender.tally.add(&result)
	sender.observe(result)
}

func (sender *sender) observe(result Result) {
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
