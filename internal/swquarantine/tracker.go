package swquarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

// Verdict is what to do with a request.
type Verdict int

// The verdicts.
const (
	// Allowed requests run freely.
	Allowed Verdict = 0
	// Canary requests run at one shard first, and at the others once that one answered.
	Canary Verdict = 1
	// Refused requests do not run.
	Refused Verdict = 2
)

// String returns the verdict's name.
func (verdict Verdict) String() string {
	return [...]string{"Allowed", "Canary", "Refused"}[verdict]
}

// Defaults of Config.
const (
	defaultCanaryWindow  = 30 * time.Second
	defaultSuspectFor    = 10 * time.Minute
	defaultQuarantineFor = 10 * time.Minute
	defaultTrialHold     = 30 * time.Second
	defaultKnownFor      = 10 * time.Minute
	defaultMaxKnown      = 64 << 10
	defaultMaxSubjects   = 4096
)

// Board spreads records to all VMs.
type RecordStore interface {
	Put(record swmember.Record) bool
	Get(topic, key string) (swmember.Record, bool)
	Records(topic string) []swmember.Record
	Subscribe(topic string, receive func(swmember.Record))
}

// Config holds what a Register is built from. Zero durations and sizes take defaults.
type Config struct {
	// Name is this VM's name.
	Name string
	// Board spreads evidence; it may be nil.
	Records RecordStore
	// CanaryWindow is how long after a crash requests that were not answered lately run at one shard first.
	CanaryWindow time.Duration
	// SuspectFor is how long evidence that does not suffice for quarantine is kept.
	SuspectFor time.Duration
	// QuarantineFor is how long a quarantined fingerprint is refused before one request may try it. Each VM adds up to
	// as much again, so that they do not try it together.
	QuarantineFor time.Duration
	// TrialHold is how long all other requests with the fingerprint are refused after one may try it.
	TrialHold time.Duration
	// KnownFor is how long an answered fingerprint counts as known.
	KnownFor time.Duration
	// MaxKnown bounds the known fingerprints, MaxSubjects those under suspicion.
	MaxKnown    int
	MaxSubjects int
}

// Register decides by fingerprint. It is safe for concurrent use. Construct it with New.
type Tracker struct {
	config   Config
	reporter string
	known    *knownSet

	mutex     sync.Mutex
	subjects  map[uint64]*subject
	lastCrash time.Time
}

// New returns a register that follows the records on its board.
func New(config Config) *Tracker {
	config.setDefaults()
	tracker := &Tracker{
		config:   config,
		reporter: newReporter(config.Name),
		known:    newKnownSet(config.KnownFor, config.MaxKnown),
		subjects: make(map[uint64]*subject),
	}
	if config.Records == nil {
		return tracker
	}
	config.Records.Subscribe(swmember.TopicQuarantine, tracker.receive)
	for _, record := range config.Records.Records(swmember.TopicQuarantine) {
		tracker.receive(record)
	}
	return tracker
}

func (config *Config) setDefaults() {
	setDefault(&config.CanaryWindow, defaultCanaryWindow)
	setDefault(&config.SuspectFor, defaultSuspectFor)
	setDefault(&config.QuarantineFor, defaultQuarantineFor)
	setDefault(&config.TrialHold, defaultTrialHold)
	setDefault(&config.KnownFor, defaultKnownFor)
	setDefault(&config.MaxKnown, defaultMaxKnown)
	setDefault(&config.MaxSubjects, defaultMaxSubjects)
}

func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}

// Check decides on a request. released is set when a rule exempts the fingerprint. A quarantined fingerprint whose time
// is over gets Canary once; that request's end must be told by Death or Completed, or the trial is spent.
func (tracker *Tracker) Check(fingerprint uint64, released bool) Verdict {
	if released {
		return Allowed
	}
	verdict, tried := tracker.check(fingerprint, time.Now())
	if tried {
		tracker.publish(fingerprint)
	}
	return verdict
}

func (tracker *Tracker) check(fingerprint uint64, now time.Time) (verdict Verdict, tried bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	subject, ok := tracker.subjects[fingerprint]
	if !ok {
		return tracker.unsuspected(fingerprint, now), false
	}
	score := subject.score()
	if score >= quarantineScore {
		return tracker.quarantined(fingerprint, subject, now)
	}
	if score >= suspectScore && now.Sub(subject.lastDeath) < tracker.config.SuspectFor {
		return Canary, false
	}
	return tracker.unsuspected(fingerprint, now), false
}

// unsuspected decides on a fingerprint without evidence against it.
func (tracker *Tracker) unsuspected(fingerprint uint64, now time.Time) Verdict {
	recent := !tracker.lastCrash.IsZero() && now.Sub(tracker.lastCrash) < tracker.config.CanaryWindow
	if recent && !tracker.known.has(fingerprint) {
		return Canary
	}
	return Allowed
}

// quarantined refuses a fingerprint, or lets one request try it when its time is over.
func (tracker *Tracker) quarantined(fingerprint uint64, subject *subject, now time.Time) (verdict Verdict, tried bool) {
	if now.Sub(subject.lastDeath) < tracker.config.QuarantineFor+tracker.stagger(fingerprint) {
		return Refused, false
	}
	if now.Sub(subject.lastTrial) < tracker.config.TrialHold {
		return Refused, false
	}
	subject.lastTrial = now
	subject.trials++
	return Canary, true
}

// stagger spreads the trials of the VMs over one quarantine time.
func (tracker *Tracker) stagger(fingerprint uint64) time.Duration {
	hash := xxhash.Sum64String(tracker.reporter + FormatFingerprint(fingerprint))
	return time.Duration(hash % uint64(tracker.config.QuarantineFor))
}

// MayRetry reports whether a request may be hedged or sent again: not when a server died of it for all that can be told.
func (tracker *Tracker) MayRetry(fingerprint uint64) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	subject, ok := tracker.subjects[fingerprint]
	return !ok || subject.score() < uint32(clearShare*fullBlame)
}

// MayRetryCrashed reports whether a request may be sent again after a server died with it in flight. It decides before
// the evidence has spread: a request that no server has answered yet may not.
func (tracker *Tracker) MayRetryAfterCrash(fingerprint uint64) bool {
	return tracker.known.has(fingerprint) && tracker.MayRetry(fingerprint)
}

// Death takes the evidence of a server that died with requests in flight, whose fingerprints are given.
func (tracker *Tracker) RecordCrash(server string, inFlight []uint64) {
	shares := blame(inFlight, tracker.known.has)
	now := time.Now()
	tracker.mutex.Lock()
	tracker.lastCrash = now
	var changed []uint64
	for fingerprint, share := range shares {
		subject := tracker.subject(fingerprint, now)
		if subject == nil {
			continue
		}
		subject.died(tracker.reporter, server, share, now)
		changed = append(changed, fingerprint)
	}
	tracker.mutex.Unlock()
	slices.Sort(changed)
	for _, fingerprint := range changed {
		tracker.publish(fingerprint)
	}
}

// Answered notes that one backend server answered a request with the fingerprint.
func (tracker *Tracker) RecordAnswer(fingerprint uint64) {
	tracker.known.add(fingerprint)
}

// Completed notes that a request with the fingerprint was answered by every shard that it was meant for. That disproves
// the evidence against it.
func (tracker *Tracker) RecordCompletion(fingerprint uint64) {
	tracker.known.add(fingerprint)
	tracker.mutex.Lock()
	subject, ok := tracker.subjects[fingerprint]
	disproved := ok && subject.deaths() > 0
	if disproved {
		subject.clear()
	}
	tracker.mutex.Unlock()
	if disproved {
		tracker.publish(fingerprint)
	}
}

// subject returns the subject of a fingerprint, new if need be, or nil when there is no room. The caller holds the mutex.
func (tracker *Tracker) subject(fingerprint uint64, now time.Time) *subject {
	present, ok := tracker.subjects[fingerprint]
	if ok {
		return present
	}
	if len(tracker.subjects) >= tracker.config.MaxSubjects && !tracker.evict(now) {
		return nil
	}
	present = newSubject()
	present.lastDeath = now
	tracker.subjects[fingerprint] = present
	return present
}

// evict makes room by dropping the subject that is not quarantined and died longest ago. Subjects that are over go as
// well. It reports whether there is room.
func (tracker *Tracker) evict(now time.Time) bool {
	var oldest uint64
	found := false
	for fingerprint, subject := range tracker.subjects {
		if tracker.over(subject, now) {
			delete(tracker.subjects, fingerprint)
			continue
		}
		if subject.score() >= quarantineScore {
			continue
		}
		if !found || subject.lastDeath.Before(tracker.subjects[oldest].lastDeath) {
			oldest, found = fingerprint, true
		}
	}
	if len(tracker.subjects) < tracker.config.MaxSubjects {
		return true
	}
	if found {
		delete(tracker.subjects, oldest)
	}
	return found
}

// over reports whether a subject's evidence is too old to count.
func (tracker *Tracker) over(subject *subject, now time.Time) bool {
	return subject.score() < quarantineScore && now.Sub(subject.lastDeath) >= tracker.config.SuspectFor
}

// Suspect is a fingerprint under suspicion, for status.
type Suspect struct {
	// Fingerprint is written as rules write it.
	Fingerprint string
	Quarantined bool
	// Deaths is the number of servers that died with it in flight, on all VMs.
	Deaths int
	// Score is the blame in whole deaths; quarantine begins at 1.4.
	Score float64
	// Since is the time since the latest death.
	Since time.Duration
	// Trials is the number of requests that this VM let through from quarantine.
	Trials int
}

// Suspects lists the fingerprints under suspicion, those with the highest score first.
func (tracker *Tracker) Suspects() []Suspect {
	now := time.Now()
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	suspects := make([]Suspect, 0, len(tracker.subjects))
	for fingerprint, subject := range tracker.subjects {
		score := subject.score()
		if score == 0 || tracker.over(subject, now) {
			continue
		}
		suspects = append(suspects, Suspect{
			Fingerprint: FormatFingerprint(fingerprint),
			Quarantined: score >= quarantineScore,
			Deaths:      subject.deaths(),
			Score:       float64(score) / fullBlame,
			Since:       now.Sub(subject.lastDeath),
			Trials:      int(subject.trials),
		})
	}
	slices.SortFunc(suspects, compareSuspects)
	return suspects
}

func compareSuspects(a, b Suspect) int {
	if a.Score != b.Score {
		if a.Score > b.Score {
			return -1
		}
		return 1
	}
	if a.Fingerprint < b.Fingerprint {
		return -1
	}
	return 1
}
