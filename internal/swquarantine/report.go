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

// reporterSuffixSize is the size in bytes of the random part of a reporter ID, which distinguishes restarts of one VM.
const reporterSuffixSize = 4

// maxClearedReporters is the maximum number of reporters whose refuted evidence one record lists.
const maxClearedReporters = 24

// report is the value of a record: one VM's evidence about one fingerprint. The record's key is FINGERPRINT/REPORTER, so
// that every record has a single writer.
type report struct {
	_ struct{} `cbor:",toarray"`

	Evidence Evidence
	// Cleared is the evidence, by reporter ID, that this VM saw refuted.
	Cleared map[string]Evidence
	// Trials counts the trial requests that this VM let through the quarantine.
	Trials uint32
}

func newReporterID(name string) string {
	var suffix [reporterSuffixSize]byte
	rand.Read(suffix[:])
	return name + "~" + hex.EncodeToString(suffix[:])
}

// recordTTL returns how long a record is valid: twice the time that quarantine, trial offset and trials take.
func (tracker *Tracker) recordTTL() time.Duration {
	return 4*tracker.config.QuarantineTime + tracker.config.EvidenceTTL
}

// publish shares this VM's evidence about a fingerprint with all VMs. The caller must not hold the mutex.
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
		Expires: tracker.recordTTL(),
	})
}

func (tracker *Tracker) encode(fingerprint uint64) ([]byte, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	suspect, ok := tracker.suspects[fingerprint]
	if !ok {
		return nil, false
	}
	value, err := swpeer.Marshal(report{
		Evidence: suspect.evidence[tracker.reporter],
		Cleared:  largestCleared(suspect.cleared),
		Trials:   suspect.trials,
	})
	return value, err == nil
}

// largestCleared returns the entries of cleared with the most crashes, at most maxClearedReporters.
func largestCleared(cleared map[string]Evidence) map[string]Evidence {
	if len(cleared) <= maxClearedReporters {
		return cleared
	}
	reporters := slices.Collect(maps.Keys(cleared))
	slices.SortFunc(reporters, func(a, b string) int { return int(cleared[b].Deaths) - int(cleared[a].Deaths) })
	largest := make(map[string]Evidence, maxClearedReporters)
	for _, reporter := range reporters[:maxClearedReporters] {
		largest[reporter] = cleared[reporter]
	}
	return largest
}

// receive merges a record of another VM. Records that cannot be decoded are ignored.
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
	suspect := tracker.suspect(fingerprint, now)
	if suspect == nil {
		return
	}
	present := suspect.evidence[reporter]
	suspect.evidence[reporter] = received.Evidence
	if received.Evidence.Deaths > present.Deaths {
		suspect.lastCrash = now
		tracker.lastCrash = now
	}
	suspect.mergeCleared(received.Cleared)
	if received.Trials > suspect.remoteTrials[reporter] {
		suspect.remoteTrials[reporter] = received.Trials
		suspect.lastTrial = now
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
