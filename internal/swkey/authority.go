package swkey

import (
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// phase is how far an authority has gone towards its end at this VM.
type phase int

const (
	// active authorities begin runs.
	active phase = 0
	// stopping authorities begin no run and answer repeats.
	stopping phase = 1
	// relinquished authorities have been committed to a successor.
	relinquished phase = 2
	// abandoned authorities found no successor.
	abandoned phase = 3
)

// entryOverhead is the memory that an entry takes besides its reply, in bytes.
const entryOverhead = 384

// bucketWidth is the span of expiry times that are removed from the table together.
const bucketWidth = time.Second

// authority is the right to run under the keys of one issuer, with the table of the runs that began. It is an
// aggregate: at most one VM holds the active authority of an issuer.
type authority struct {
	issuer Issuer
	secret []byte
	clock  *clock
	limits Limits

	sequence atomic.Uint64
	// latest is the latest expiry of the keys issued, on the authority's clock.
	latest  atomic.Int64
	bytes   *atomic.Int64
	running atomic.Int64
	// offer identifies the handover that brought the authority here.
	offer   uint64
	entries *swtable.Table[uint64, *entry]

	// mutex guards phase and successor; beginning a run holds it for reading.
	mutex     sync.RWMutex
	phase     phase
	successor string
	settled   chan struct{}

	bucketsMutex sync.Mutex
	buckets      map[int64][]uint64
	purgedTo     int64
}

// entry is a run that began under a key.
type entry struct {
	caller      string
	fingerprint uint64
	expires     time.Duration
	// done is closed when outcome is set.
	done    chan struct{}
	outcome Outcome
	size    int64
}

func newAuthority(issuer Issuer, secret []byte, base time.Duration, limits Limits, bytes *atomic.Int64) *authority {
	clock := newClock(base)
	return &authority{
		issuer:   issuer,
		secret:   secret,
		clock:    clock,
		limits:   limits,
		bytes:    bytes,
		entries:  swtable.New[uint64, *entry](),
		settled:  make(chan struct{}),
		buckets:  make(map[int64][]uint64),
		purgedTo: bucketOf(base),
	}
}

func newSecret() []byte {
	secret := make([]byte, secretSize)
	rand.Read(secret)
	return secret
}

// issue returns a new key that no run may begin under after lifetime.
func (authority *authority) issue(lifetime time.Duration) string {
	token := Token{
		Issuer:   authority.issuer,
		Sequence: authority.sequence.Add(1),
		Expires:  authority.clock.now() + lifetime,
	}
	authority.noteExpiry(token.Expires)
	return token.Encode(authority.secret)
}

// noteExpiry keeps the latest expiry of the keys issued.
func (authority *authority) noteExpiry(expires time.Duration) {
	for {
		present := authority.latest.Load()
		if int64(expires) <= present || authority.latest.CompareAndSwap(present, int64(expires)) {
			return
		}
	}
}

// useful returns how much longer the authority may have something to tell: until the retention of the last key it issued
// is over. It is zero or less when it has nothing to tell.
func (authority *authority) useful() time.Duration {
	latest := time.Duration(authority.latest.Load())
	if latest == 0 {
		return 0
	}
	return latest + authority.limits.Retention - authority.clock.now()
}

// begun is what came of an attempt to begin a run.
type begun struct {
	// entry is the run to wait for, or nil when refused.
	entry *entry
	// first is set when the run is the attempt's own to execute.
	first bool
	// refused is why nothing began.
	refused Outcome
	// moving is set when the authority is on its way to a successor.
	moving bool
}

// begin looks the key up and, when no run began under it, begins one. A run begins only while the authority is active,
// before the key expires and, when startBefore is not zero, before that time on the authority's clock.
func (authority *authority) begin(token Token, request *RunRequest, startBefore time.Duration) begun {
	authority.purge()
	authority.mutex.RLock()
	defer authority.mutex.RUnlock()
	var result begun
	authority.entries.Update(token.Sequence, func(present *entry, ok bool) (*entry, bool) {
		if ok {
			result = present.repeat(request)
			return present, true
		}
		if authority.phase != active {
			result = begun{moving: true}
			return nil, false
		}
		refused, ok := authority.refuse(token, startBefore)
		if ok {
			result = begun{refused: refused}
			return nil, false
		}
		fresh := &entry{
			caller:      request.Caller,
			fingerprint: request.Fingerprint,
			expires:     token.Expires,
			done:        make(chan struct{}),
			size:        authority.limits.MaxOutcome + entryOverhead,
		}
		result = begun{entry: fresh, first: true}
		return fresh, true
	})
	if result.first {
		authority.running.Add(1)
		authority.remember(token.Sequence, token.Expires+authority.limits.Retention)
	}
	return result
}

// repeat answers an attempt under a key that a run began under before.
func (entry *entry) repeat(request *RunRequest) begun {
	if entry.fingerprint != request.Fingerprint || entry.caller != request.Caller {
		refused := refusal(swcode.KeyReused, swcode.RanNo, "the key was used by another caller or with another body")
		refused.Field = "Key"
		return begun{refused: refused}
	}
	return begun{entry: entry}
}

// refuse decides whether a first run must not begin. It takes memory for the run when it may.
func (authority *authority) refuse(token Token, startBefore time.Duration) (Outcome, bool) {
	now := authority.clock.now()
	if now >= token.Expires {
		return authority.expired(token, now), true
	}
	if startBefore > 0 && now >= startBefore {
		return refusal(swcode.DeadlineExceeded, swcode.RanNo, "the request reached the issuer after its deadline"), true
	}
	reserve := authority.limits.MaxOutcome + entryOverhead
	if authority.bytes.Add(reserve) > authority.limits.MaxBytes {
		authority.bytes.Add(-reserve)
		return refusalForNow(swcode.KeyTableFull, swcode.RanNo, "the issuer's table of keys is full"), true
	}
	return Outcome{}, false
}

// expired tells whether the table still proves that no run began under the key.
func (authority *authority) expired(token Token, now time.Duration) Outcome {
	if now < token.Expires+authority.limits.Retention {
		return refusal(swcode.KeyExpired, swcode.RanNo, "the key expired before a run began under it")
	}
	return refusal(swcode.KeyExpired, swcode.RanUnknown, "the key expired and its outcome is no longer kept")
}

// finish records the outcome of a run. An outcome that proves that nothing ran frees the key for another attempt.
func (authority *authority) finish(token Token, outcome Outcome) {
	kept := outcome
	if int64(len(kept.Reply)) > authority.limits.MaxOutcome {
		kept.Reply = nil
		kept.Message = "the reply was too large to keep for repeats"
	}
	size := outcomeSize(kept)
	if outcome.Ran == swcode.RanNo {
		size = 0
	}
	authority.entries.Update(token.Sequence, func(run *entry, _ bool) (*entry, bool) {
		run.outcome = kept
		authority.bytes.Add(size - run.size)
		run.size = size
		close(run.done)
		return run, outcome.Ran != swcode.RanNo
	})
	authority.running.Add(-1)
}

// outcomeSize returns the memory that an entry with the outcome takes, in bytes.
func outcomeSize(outcome Outcome) int64 {
	return int64(len(outcome.Reply)+len(outcome.Message)+len(outcome.Fix)) + entryOverhead
}

// remember files a key under the time from which its entry may go.
func (authority *authority) remember(sequence uint64, until time.Duration) {
	bucket := bucketOf(until) + 1
	authority.bucketsMutex.Lock()
	defer authority.bucketsMutex.Unlock()
	authority.buckets[bucket] = append(authority.buckets[bucket], sequence)
}

func bucketOf(at time.Duration) int64 {
	return int64(at / bucketWidth)
}

// purge removes the entries whose keys expired longer ago than the retention. Runs that have not finished stay.
func (authority *authority) purge() {
	for _, sequence := range authority.due() {
		if !authority.drop(sequence) {
			authority.remember(sequence, authority.clock.now())
		}
	}
}

// drop removes the entry of a key unless its run has not finished.
func (authority *authority) drop(sequence uint64) bool {
	dropped := true
	authority.entries.Update(sequence, func(run *entry, ok bool) (*entry, bool) {
		if !ok {
			return nil, false
		}
		if !run.finished() {
			dropped = false
			return run, true
		}
		authority.bytes.Add(-run.size)
		return nil, false
	})
	return dropped
}

// finished reports whether the outcome is recorded.
func (entry *entry) finished() bool {
	select {
	case <-entry.done:
		return true
	default:
		return false
	}
}

// due takes the keys out of the buckets that have passed.
func (authority *authority) due() []uint64 {
	current := bucketOf(authority.clock.now())
	authority.bucketsMutex.Lock()
	defer authority.bucketsMutex.Unlock()
	if current == authority.purgedTo {
		return nil
	}
	authority.purgedTo = current
	var sequences []uint64
	for bucket, list := range authority.buckets {
		if bucket > current {
			continue
		}
		sequences = append(sequences, list...)
		delete(authority.buckets, bucket)
	}
	return sequences
}

// stop ends the beginning of runs. It reports whether the authority was active.
func (authority *authority) stop() bool {
	authority.mutex.Lock()
	defer authority.mutex.Unlock()
	was := authority.phase == active
	if was {
		authority.phase = stopping
	}
	return was
}

// relinquish gives the authority up to a successor for good. Of several calls only the first counts.
func (authority *authority) relinquish(successor string) {
	authority.mutex.Lock()
	defer authority.mutex.Unlock()
	if authority.phase == relinquished {
		return
	}
	authority.phase = relinquished
	authority.successor = successor
	close(authority.settled)
}

// current returns the phase, and the successor of a relinquished authority.
func (authority *authority) current() (phase, string) {
	authority.mutex.RLock()
	defer authority.mutex.RUnlock()
	return authority.phase, authority.successor
}
