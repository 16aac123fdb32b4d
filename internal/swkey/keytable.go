package swkey

import (
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// phase is the state of a key table at this VM.
type phase int

const (
	// active tables begin runs.
	active phase = 0
	// stopping tables begin no runs but still answer repeats.
	stopping phase = 1
	// relinquished tables belong to a successor.
	relinquished phase = 2
	// abandoned tables were accepted by no successor.
	abandoned phase = 3
)

// entryOverhead is the memory that an entry takes in addition to its reply, in bytes.
const entryOverhead = 384

// bucketWidth is the span of expiry times whose entries are removed together.
const bucketWidth = time.Second

// keyTable records the runs that began under the keys of one issuer. Only the VM that holds an issuer's active table may
// run work under its keys, and at most one VM holds it.
type keyTable struct {
	issuer Issuer
	secret []byte
	clock  *clock
	limits Limits

	sequence atomic.Uint64
	// latestExpiry is the latest expiry of the keys issued, on the table's clock.
	latestExpiry atomic.Int64
	usedBytes    *atomic.Int64
	inFlight     atomic.Int64
	// offerID identifies the handover by which this VM received the table.
	offerID uint64
	entries *swtable.Table[uint64, *entry]

	// phaseMutex guards phase and successor. Beginning a run holds it for reading.
	phaseMutex    sync.RWMutex
	phase         phase
	successor     string
	handoverEnded chan struct{}

	bucketsMutex  sync.Mutex
	expiryBuckets map[int64][]uint64
	purgedBucket  int64
}

// entry records a run that began under a key.
type entry struct {
	caller      string
	fingerprint uint64
	expires     time.Duration
	// done is closed when outcome is set.
	done    chan struct{}
	outcome Outcome
	size    int64
}

func newKeyTable(issuer Issuer, secret []byte, initialTime time.Duration, limits Limits, usedBytes *atomic.Int64) *keyTable {
	clock := newClock(initialTime)
	return &keyTable{
		issuer:        issuer,
		secret:        secret,
		clock:         clock,
		limits:        limits,
		usedBytes:     usedBytes,
		entries:       swtable.New[uint64, *entry](),
		handoverEnded: make(chan struct{}),
		expiryBuckets: make(map[int64][]uint64),
		purgedBucket:  bucketAt(initialTime),
	}
}

func newSecret() []byte {
	secret := make([]byte, secretSize)
	rand.Read(secret)
	return secret
}

// issue returns a new key under which no run may begin after lifetime.
func (keyTable *keyTable) issue(lifetime time.Duration) string {
	token := Token{
		Issuer:   keyTable.issuer,
		Sequence: keyTable.sequence.Add(1),
		Expires:  keyTable.clock.now() + lifetime,
	}
	keyTable.recordExpiry(token.Expires)
	return token.Encode(keyTable.secret)
}

// recordExpiry raises the latest expiry of the keys issued.
func (keyTable *keyTable) recordExpiry(expires time.Duration) {
	for {
		current := keyTable.latestExpiry.Load()
		if int64(expires) <= current || keyTable.latestExpiry.CompareAndSwap(current, int64(expires)) {
			return
		}
	}
}

// timeToLive returns how much longer the table is needed: until the retention of the last key issued ends. It is zero or
// less when the table can be dropped.
func (keyTable *keyTable) timeToLive() time.Duration {
	latest := time.Duration(keyTable.latestExpiry.Load())
	if latest == 0 {
		return 0
	}
	return latest + keyTable.limits.Retention - keyTable.clock.now()
}

// beginResult is the result of an attempt to begin a run.
type beginResult struct {
	// entry is the run to wait for, or nil when the attempt was refused.
	entry *entry
	// isNew reports whether this attempt began the run and must execute it.
	isNew bool
	// refusal is the outcome to return when entry is nil and handingOver is false.
	refusal Outcome
	// handingOver reports whether the table is no longer active here, so that a successor may have to run the request.
	handingOver bool
}

// begin looks up the key and begins a run if there is none under it. A run begins only while the table is active, before
// the key expires and, if startBefore is not zero, before that time on the table's clock.
func (keyTable *keyTable) begin(token Token, request *RunRequest, startBefore time.Duration) beginResult {
	keyTable.removeExpired()
	keyTable.phaseMutex.RLock()
	defer keyTable.phaseMutex.RUnlock()
	var result beginResult
	keyTable.entries.Update(token.Sequence, func(existing *entry, ok bool) (*entry, bool) {
		if ok {
			result = existing.resultForRepeat(request)
			return existing, true
		}
		if keyTable.phase != active {
			result = beginResult{handingOver: true}
			return nil, false
		}
		refused, ok := keyTable.refuseOrReserve(token, startBefore)
		if ok {
			result = beginResult{refusal: refused}
			return nil, false
		}
		added := &entry{
			caller:      request.Caller,
			fingerprint: request.Fingerprint,
			expires:     token.Expires,
			done:        make(chan struct{}),
			size:        keyTable.limits.MaxOutcome + entryOverhead,
		}
		result = beginResult{entry: added, isNew: true}
		return added, true
	})
	if result.isNew {
		keyTable.inFlight.Add(1)
		keyTable.scheduleRemoval(token.Sequence, token.Expires+keyTable.limits.Retention)
	}
	return result
}

// resultForRepeat returns the result of an attempt under a key that already has a run.
func (entry *entry) resultForRepeat(request *RunRequest) beginResult {
	if entry.fingerprint != request.Fingerprint || entry.caller != request.Caller {
		refused := refusal(swcode.KeyReused, swcode.RanNo, "the key was used by another caller or with another body")
		refused.Field = "Key"
		return beginResult{refusal: refused}
	}
	return beginResult{entry: entry}
}

// refuseOrReserve returns the refusal of a first run and true if it must not begin. Otherwise it reserves memory for the
// run.
func (keyTable *keyTable) refuseOrReserve(token Token, startBefore time.Duration) (Outcome, bool) {
	now := keyTable.clock.now()
	if now >= token.Expires {
		return keyTable.expiredOutcome(token, now), true
	}
	if startBefore > 0 && now >= startBefore {
		return refusal(swcode.DeadlineExceeded, swcode.RanNo, "the request reached the issuer after its deadline"), true
	}
	reservation := keyTable.limits.MaxOutcome + entryOverhead
	if keyTable.usedBytes.Add(reservation) > keyTable.limits.MaxBytes {
		keyTable.usedBytes.Add(-reservation)
		return temporaryRefusal(swcode.KeyTableFull, swcode.RanNo, "the issuer's key table is full"), true
	}
	return Outcome{}, false
}

// expiredOutcome returns the refusal for an expired key. Until the end of the retention the table proves that no run
// began under the key; after it, a run may have been forgotten.
func (keyTable *keyTable) expiredOutcome(token Token, now time.Duration) Outcome {
	if now < token.Expires+keyTable.limits.Retention {
		return refusal(swcode.KeyExpired, swcode.RanNo, "the key expired before a run began under it")
	}
	return refusal(swcode.KeyExpired, swcode.RanUnknown, "the key expired and its outcome is no longer kept")
}

// finish records the outcome of a run. If the outcome proves that nothing ran, the entry is removed so that another
// attempt may use the key.
func (keyTable *keyTable) finish(token Token, outcome Outcome) {
	recorded := outcome
	if int64(len(recorded.Reply)) > keyTable.limits.MaxOutcome {
		recorded.Reply = nil
		recorded.Message = "the reply was too large to keep for repeats"
	}
	size := outcomeSize(recorded)
	if outcome.Ran == swcode.RanNo {
		size = 0
	}
	keyTable.entries.Update(token.Sequence, func(run *entry, _ bool) (*entry, bool) {
		run.outcome = recorded
		keyTable.usedBytes.Add(size - run.size)
		run.size = size
		close(run.done)
		return run, outcome.Ran != swcode.RanNo
	})
	keyTable.inFlight.Add(-1)
}

// outcomeSize returns the memory that an entry with this outcome takes, in bytes.
func outcomeSize(outcome Outcome) int64 {
	return int64(len(outcome.Reply)+len(outcome.Field)+len(outcome.Message)+len(outcome.Fix)) + entryOverhead
}

// scheduleRemoval schedules the removal of a key's entry at the given time.
func (keyTable *keyTable) scheduleRemoval(sequence uint64, until time.Duration) {
	bucket := bucketAt(until) + 1
	keyTable.bucketsMutex.Lock()
	defer keyTable.bucketsMutex.Unlock()
	keyTable.expiryBuckets[bucket] = append(keyTable.expiryBuckets[bucket], sequence)
}

func bucketAt(at time.Duration) int64 {
	return int64(at / bucketWidth)
}

// removeExpired removes the entries whose retention has ended. Entries of unfinished runs stay.
func (keyTable *keyTable) removeExpired() {
	for _, sequence := range keyTable.takeDueKeys() {
		if !keyTable.removeEntry(sequence) {
			keyTable.scheduleRemoval(sequence, keyTable.clock.now())
		}
	}
}

// removeEntry removes the entry of a key and returns true, or returns false if its run has not finished.
func (keyTable *keyTable) removeEntry(sequence uint64) bool {
	removed := true
	keyTable.entries.Update(sequence, func(run *entry, ok bool) (*entry, bool) {
		if !ok {
			return nil, false
		}
		if !run.finished() {
			removed = false
			return run, true
		}
		keyTable.usedBytes.Add(-run.size)
		return nil, false
	})
	return removed
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

// takeDueKeys removes and returns the keys whose entries are due for removal.
func (keyTable *keyTable) takeDueKeys() []uint64 {
	current := bucketAt(keyTable.clock.now())
	keyTable.bucketsMutex.Lock()
	defer keyTable.bucketsMutex.Unlock()
	if current == keyTable.purgedBucket {
		return nil
	}
	keyTable.purgedBucket = current
	var sequences []uint64
	for bucket, list := range keyTable.expiryBuckets {
		if bucket > current {
			continue
		}
		sequences = append(sequences, list...)
		delete(keyTable.expiryBuckets, bucket)
	}
	return sequences
}

// stop prevents new runs. It reports whether the table was active.
func (keyTable *keyTable) stop() bool {
	keyTable.phaseMutex.Lock()
	defer keyTable.phaseMutex.Unlock()
	wasActive := keyTable.phase == active
	if wasActive {
		keyTable.phase = stopping
	}
	return wasActive
}

// relinquish marks the table as held by the successor from now on. Calls after the first have no effect.
func (keyTable *keyTable) relinquish(successor string) {
	keyTable.phaseMutex.Lock()
	defer keyTable.phaseMutex.Unlock()
	if keyTable.phase == relinquished {
		return
	}
	keyTable.phase = relinquished
	keyTable.successor = successor
	close(keyTable.handoverEnded)
}

// phaseAndSuccessor returns the phase and, for a relinquished table, the successor.
func (keyTable *keyTable) phaseAndSuccessor() (phase, string) {
	keyTable.phaseMutex.RLock()
	defer keyTable.phaseMutex.RUnlock()
	return keyTable.phase, keyTable.successor
}
