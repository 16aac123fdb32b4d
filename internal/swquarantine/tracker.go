package swquarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

// Verdict is the decision whether and how a request may run.
type Verdict int

// The possible verdicts.
const (
	// Allowed requests run unrestricted.
	Allowed Verdict = 0
	// Canary requests run at one shard first, and at the other shards after that shard has answered.
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
	defaultCanaryWindow   = 30 * time.Second
	defaultEvidenceTTL    = 10 * time.Minute
	defaultQuarantineTime = 10 * time.Minute
	defaultTrialTimeout   = 30 * time.Second
	defaultKnownTTL       = 10 * time.Minute
	defaultMaxKnown       = 64 << 10
	defaultMaxSuspects    = 4096
)

// RecordStore shares records with all VMs.
type RecordStore interface {
	Put(record swmember.Record) bool
	Get(topic, key string) (swmember.Record, bool)
	Records(topic string) []swmember.Record
	Subscribe(topic string, receive func(swmember.Record))
}

// Config configures a Tracker. Durations and sizes that are zero take their defaults.
type Config struct {
	// Name is this VM's name.
	Name string
	// Records shares the evidence with other VMs. It may be nil.
	Records RecordStore
	// CanaryWindow is how long after a crash requests run as canaries if their fingerprint was not answered recently.
	CanaryWindow time.Duration
	// EvidenceTTL is how long evidence below the quarantine score is kept after the last crash.
	EvidenceTTL time.Duration
	// QuarantineTime is how long a quarantined fingerprint is refused before one trial request may run. Each VM adds an
	// offset of up to the same time, so that the VMs do not run their trials at once.
	QuarantineTime time.Duration
	// TrialTimeout is how long other requests with the fingerprint are refused after a trial request was let through.
	TrialTimeout time.Duration
	// KnownTTL is how long a fingerprint counts as known after an answer: up to twice as long, and shorter when MaxKnown
	// is reached.
	KnownTTL time.Duration
	// MaxKnown is the maximum number of known fingerprints.
	MaxKnown int
	// MaxSuspects is the maximum number of fingerprints with evidence against them.
	MaxSuspects int
}

// Tracker collects evidence of crashes by request fingerprint and decides which requests run. It is safe for concurrent
// use.
type Tracker struct {
	config Config
	// reporter identifies this process as the source of evidence.
	reporter string
	known    *knownSet

	mutex    sync.Mutex
	suspects map[uint64]*suspect
	// lastCrash is when this VM last saw a crash or received evidence of one.
	lastCrash time.Time
}

// New returns a tracker. It applies the evidence in config.Records and subscribes to changes.
func New(config Config) *Tracker {
	config.setDefaults()
	tracker := &Tracker{
		config:   config,
		reporter: newReporterID(config.Name),
		known:    newKnownSet(config.KnownTTL, config.MaxKnown),
		suspects: make(map[uint64]*suspect),
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
	setDefault(&config.EvidenceTTL, defaultEvidenceTTL)
	setDefault(&config.QuarantineTime, defaultQuarantineTime)
	setDefault(&config.TrialTimeout, defaultTrialTimeout)
	setDefault(&config.KnownTTL, defaultKnownTTL)
	setDefault(&config.MaxKnown, defaultMaxKnown)
	setDefault(&config.MaxSuspects, defaultMaxSuspects)
}

func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}

// Check returns the verdict on a request; released means that a rule exempts its fingerprint. After a quarantine expires,
// one request gets Canary as a trial. Report its result with RecordCrash or RecordCompletion, or the trial has no effect.
func (tracker *Tracker) Check(fingerprint uint64, released bool) Verdict {
	if released {
		return Allowed
	}
	verdict, isTrial := tracker.decide(fingerprint, time.Now())
	if isTrial {
		tracker.publish(fingerprint)
	}
	return verdict
}

// decide returns the verdict on a fingerprint, and whether the request is a trial.
func (tracker *Tracker) decide(fingerprint uint64, now time.Time) (verdict Verdict, isTrial bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	suspect, ok := tracker.suspects[fingerprint]
	if !ok {
		return tracker.decideUnsuspected(fingerprint, now), false
	}
	score := suspect.score()
	if score >= quarantineScore {
		return tracker.decideQuarantined(fingerprint, suspect, now)
	}
	if score >= suspectScore && now.Sub(suspect.lastCrash) < tracker.config.EvidenceTTL {
		return Canary, false
	}
	return tracker.decideUnsuspected(fingerprint, now), false
}

// decideUnsuspected decides on a fingerprint without sufficient evidence against it. The caller holds the mutex.
func (tracker *Tracker) decideUnsuspected(fingerprint uint64, now time.Time) Verdict {
	recent := !tracker.lastCrash.IsZero() && now.Sub(tracker.lastCrash) < tracker.config.CanaryWindow
	if recent && !tracker.known.has(fingerprint) {
		return Canary
	}
	return Allowed
}

// decideQuarantined refuses a quarantined fingerprint, or lets one trial request through when the quarantine has expired.
func (tracker *Tracker) decideQuarantined(fingerprint uint64, suspect *suspect, now time.Time) (verdict Verdict, isTrial bool) {
	if now.Sub(suspect.lastCrash) < tracker.config.QuarantineTime+tracker.trialOffset(fingerprint) {
		return Refused, false
	}
	if now.Sub(suspect.lastTrial) < tracker.config.TrialTimeout {
		return Refused, false
	}
	suspect.lastTrial = now
	suspect.trials++
	return Canary, true
}

// trialOffset returns this VM's extra wait before a trial. It spreads the trials of all VMs over one Config.QuarantineTime.
func (tracker *Tracker) trialOffset(fingerprint uint64) time.Duration {
	hash := xxhash.Sum64String(tracker.reporter + FormatFingerprint(fingerprint))
	return time.Duration(hash % uint64(tracker.config.QuarantineTime))
}

// MayRetry reports whether a request may be hedged or retried: not if the evidence weighs as much as one clear crash.
func (tracker *Tracker) MayRetry(fingerprint uint64) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	suspect, ok := tracker.suspects[fingerprint]
	return !ok || suspect.score() < uint32(minClearShare*pointsPerCrash)
}

// MayRetryAfterCrash reports whether a request may be retried after a server crashed with it in flight. The evidence of
// that crash may not have reached this VM yet, so a fingerprint that no server answered recently may not be retried.
func (tracker *Tracker) MayRetryAfterCrash(fingerprint uint64) bool {
	return tracker.known.has(fingerprint) && tracker.MayRetry(fingerprint)
}

// RecordCrash records that a server crashed with requests of the given fingerprints in flight.
func (tracker *Tracker) RecordCrash(server string, inFlight []uint64) {
	shares := blameShares(inFlight, tracker.known.has)
	now := time.Now()
	tracker.mutex.Lock()
	tracker.lastCrash = now
	var changed []uint64
	for fingerprint, share := range shares {
		suspect := tracker.suspect(fingerprint, now)
		if suspect == nil {
			continue
		}
		suspect.addCrash(tracker.reporter, server, share, now)
		changed = append(changed, fingerprint)
	}
	tracker.mutex.Unlock()
	slices.Sort(changed)
	for _, fingerprint := range changed {
		tracker.publish(fingerprint)
	}
}

// RecordAnswer records that one backend server answered a request with the fingerprint.
func (tracker *Tracker) RecordAnswer(fingerprint uint64) {
	tracker.known.add(fingerprint)
}

// RecordCompletion records that every shard of a request with the fingerprint answered. This refutes the evidence
// against the fingerprint.
func (tracker *Tracker) RecordCompletion(fingerprint uint64) {
	tracker.known.add(fingerprint)
	tracker.mutex.Lock()
	suspect, ok := tracker.suspects[fingerprint]
	disproved := ok && suspect.crashes() > 0
	if disproved {
		suspect.disprove()
	}
	tracker.mutex.Unlock()
	if disproved {
		tracker.publish(fingerprint)
	}
}

// suspect returns or creates a fingerprint's suspect, or returns nil when evict frees no place. The caller holds the mutex.
func (tracker *Tracker) suspect(fingerprint uint64, now time.Time) *suspect {
	present, ok := tracker.suspects[fingerprint]
	if ok {
		return present
	}
	if len(tracker.suspects) >= tracker.config.MaxSuspects && !tracker.evict(now) {
		return nil
	}
	present = newSuspect()
	present.lastCrash = now
	tracker.suspects[fingerprint] = present
	return present
}

// evict removes expired suspects. If that frees no place, it removes the suspect with the oldest crash that is not
// quarantined. It reports whether there is a free place.
func (tracker *Tracker) evict(now time.Time) bool {
	var oldest uint64
	found := false
	for fingerprint, suspect := range tracker.suspects {
		if tracker.hasExpired(suspect, now) {
			delete(tracker.suspects, fingerprint)
			continue
		}
		if suspect.score() >= quarantineScore {
			continue
		}
		if !found || suspect.lastCrash.Before(tracker.suspects[oldest].lastCrash) {
			oldest, found = fingerprint, true
		}
	}
	if len(tracker.suspects) < tracker.config.MaxSuspects {
		return true
	}
	if found {
		delete(tracker.suspects, oldest)
	}
	return found
}

// hasExpired reports whether a suspect's evidence is too old to count. A quarantined suspect does not expire.
func (tracker *Tracker) hasExpired(suspect *suspect, now time.Time) bool {
	return suspect.score() < quarantineScore && now.Sub(suspect.lastCrash) >= tracker.config.EvidenceTTL
}

// Suspect describes a fingerprint with evidence against it in the status.
type Suspect struct {
	// Fingerprint has the form of FormatFingerprint.
	Fingerprint string
	Quarantined bool
	// Deaths is the number of server crashes with the fingerprint in flight, over all VMs.
	Deaths int
	// Score is the evidence in crashes. The fingerprint is quarantined from 1.4 on.
	Score float64
	// Since is the time since the latest crash.
	Since time.Duration
	// Trials is the number of trial requests that this VM let through the quarantine.
	Trials int
}

// Suspects returns the fingerprints with evidence against them, the highest score first.
func (tracker *Tracker) Suspects() []Suspect {
	now := time.Now()
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	suspects := make([]Suspect, 0, len(tracker.suspects))
	for fingerprint, suspect := range tracker.suspects {
		score := suspect.score()
		if score == 0 || tracker.hasExpired(suspect, now) {
			continue
		}
		suspects = append(suspects, Suspect{
			Fingerprint: FormatFingerprint(fingerprint),
			Quarantined: score >= quarantineScore,
			Deaths:      suspect.crashes(),
			Score:       float64(score) / pointsPerCrash,
			Since:       now.Sub(suspect.lastCrash),
			Trials:      int(suspect.trials),
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
