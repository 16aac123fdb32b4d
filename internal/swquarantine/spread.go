package swquarantine

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// reporterSuffix is the size of what tells two starts of one VM apart, in bytes.
const reporterSuffix = 4

// maxCleared bounds the reporters whose disproved evidence one record lists.
const maxCleared = 24

// report is the value of a record: what one VM knows of one fingerprint. Its key is Fingerprint/Reporter, so that no two
// VMs write the same record.
type report struct {
	_ struct{} `cbor:",toarray"`

	Evidence Evidence
	// Cleared is the evidence of each reporter that this VM saw disproved.
	Cleared map[string]Evidence
	// Trials counts the requests that this VM let through from quarantine.
	Trials uint32
}

func newReporter(name string) string {
	var suffix [reporterSuffix]byte
	rand.Read(suffix[:])
	return name + "~" + hex.EncodeToString(suffix[:])
}

// recordLife is how long a record stands: through quarantine, stagger and trials, and then as long again.
func (tracker *Tracker) recordLife() time.Duration {
	return 4*tracker.config.QuarantineFor + tracker.config.SuspectFor
}

// publish spreads what this VM knows of a fingerprint. The caller must not hold the mutex.
func (tracker *Tracker) publish(fingerprint uint64) {
	if tracker.config.Records == nil {
		return
	}
	key := FormatFingerprint(fingerprint) + "/" + tracker.reporter
	value, ok := tracker.encode(fingerprint)
	if !ok {
		return
	}
	present, _ := tracker.config.Records.Get(swmember.TopicQuarantine, key)
	tracker.config.Records.Put(swmember.Record{
		Topic:   swmember.TopicQuarantine,
		Key:     key,
		Version: present.Version + 1,
		Value:   value,
		Expires: tracker.recordLife(),
	})
}

func (tracker *Tracker) encode(fingerprint uint64) ([]byte, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	subject, ok := tracker.subjects[fingerprint]
	if !ok {
		return nil, false
	}
	value, err := swpeer.Marshal(report{
		Evidence: subject.reports[tracker.reporter],
		Cleared:  mostCleared(subject.cleared),
		Trials:   subject.trials,
	})
	return value, err == nil
}

// mostCleared returns the largest entries of cleared, as many as fit into a record.
func mostCleared(cleared map[string]Evidence) map[string]Evidence {
	if len(cleared) <= maxCleared {
		return cleared
	}
	reporters := slices.Collect(maps.Keys(cleared))
	slices.SortFunc(reporters, func(a, b string) int { return int(cleared[b].Deaths) - int(cleared[a].Deaths) })
	most := make(map[string]Evidence, maxCleared)
	for _, reporter := range reporters[:maxCleared] {
		most[reporter] = cleared[reporter]
	}
	return most
}

// receive takes in a record of another VM. Records that cannot be read are left out.
func (tracker *Tracker) receive(record swmember.Record) {
	fingerprint, reporter, ok := splitKey(record.Key)
	if !ok || reporter == tracker.reporter {
		return
	}
	var received report
	if err := swpeer.Unmarshal(record.Value, &received); err != nil {
		return
	}
	now := time.Now()
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	subject := tracker.subject(fingerprint, now)
	if subject == nil {
		return
	}
	present := subject.reports[reporter]
	subject.reports[reporter] = received.Evidence
	if received.Evidence.Deaths > present.Deaths {
		subject.lastDeath = now
		tracker.lastCrash = now
	}
	subject.mergeCleared(received.Cleared)
	if received.Trials > subject.heardTrials[reporter] {
		subject.heardTrials[reporter] = received.Trials
		subject.lastTrial = now
	}
}

func splitKey(key string) (fingerprint uint64, reporter string, ok bool) {
	digits, reporter, ok := strings.Cut(key, "/")
	if !ok {
		return 0, "", false
	}
	fingerprint, err := strconv.ParseUint(digits, 16, 64)
	return fingerprint, reporter, err == nil
}
