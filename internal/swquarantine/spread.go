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
func (register *Register) recordLife() time.Duration {
	return 4*register.config.QuarantineFor + register.config.SuspectFor
}

// publish spreads what this VM knows of a fingerprint. The caller must not hold the mutex.
func (register *Register) publish(fingerprint uint64) {
	if register.config.Board == nil {
		return
	}
	key := Format(fingerprint) + "/" + register.reporter
	value, ok := register.encode(fingerprint)
	if !ok {
		return
	}
	present, _ := register.config.Board.Get(swmember.TopicQuarantine, key)
	register.config.Board.Put(swmember.Record{
		Topic:   swmember.TopicQuarantine,
		Key:     key,
		Version: present.Version + 1,
		Value:   value,
		Expires: register.recordLife(),
	})
}

func (register *Register) encode(fingerprint uint64) ([]byte, bool) {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	subject, ok := register.subjects[fingerprint]
	if !ok {
		return nil, false
	}
	value, err := swpeer.Marshal(report{
		Evidence: subject.reports[register.reporter],
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
func (register *Register) receive(record swmember.Record) {
	fingerprint, reporter, ok := splitKey(record.Key)
	if !ok || reporter == register.reporter {
		return
	}
	var received report
	if err := swpeer.Unmarshal(record.Value, &received); err != nil {
		return
	}
	now := time.Now()
	register.mutex.Lock()
	defer register.mutex.Unlock()
	subject := register.subject(fingerprint, now)
	if subject == nil {
		return
	}
	present := subject.reports[reporter]
	subject.reports[reporter] = received.Evidence
	if received.Evidence.Deaths > present.Deaths {
		subject.lastDeath = now
		register.lastCrash = now
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
