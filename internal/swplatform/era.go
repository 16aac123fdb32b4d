package swplatform

import (
	"sync"

	"github.com/rs/zerolog"
)

// maxEraStep bounds by how much the era of one response may exceed the latest known one. The store counts by one, so that a larger step
// is no era; taken for one, it would make every later response look old.
const maxEraStep = 1 << 16

// EraTracker keeps the latest era of the platform's store that a response has named, and tells responses of former eras from current
// ones. Construct it with NewEraTracker; it is safe for concurrent use.
type EraTracker struct {
	log zerolog.Logger

	mutex    sync.Mutex
	era      uint64
	onNewEra []func(era uint64)
	// warnedUnknown and warnedFormer are set after the log line about a response without a readable era, and about one of a former era.
	warnedUnknown bool
	warnedFormer  bool
}

// NewEraTracker returns a tracker that knows no era.
func NewEraTracker(log zerolog.Logger) *EraTracker {
	return &EraTracker{log: log}
}

// OnNewEra registers receive to be called with each era that follows the first one that this process has known.
func (tracker *EraTracker) OnNewEra(receive func(era uint64)) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.onNewEra = append(tracker.onNewEra, receive)
}

// Latest returns the latest known era; zero if none is known.
func (tracker *EraTracker) Latest() uint64 {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.era
}

// Observe returns the era to which a response belongs; ok is false if the response names none that is readable. Such a response is taken
// for one of the latest era. The result is false for a response of a former era, which must not be used.
func (tracker *EraTracker) Observe(era uint64, ok bool) (uint64, bool) {
	tracker.mutex.Lock()
	if ok && tracker.era > 0 && era > tracker.era+maxEraStep {
		ok = false
	}
	latest := tracker.era
	switch {
	case !ok && latest == 0, ok && era == latest:
		tracker.mutex.Unlock()
		return latest, true
	case !ok:
		warned := tracker.warnedUnknown
		tracker.warnedUnknown = true
		tracker.mutex.Unlock()
		if !warned {
			tracker.log.Warn().Uint64("Era", latest).Msg("a response of the platform's store names no valid era; it is taken for the latest one")
		}
		return latest, true
	case era < latest:
		warned := tracker.warnedFormer
		tracker.warnedFormer = true
		tracker.mutex.Unlock()
		if !warned {
			tracker.log.Warn().Uint64("Era", latest).Uint64("Former", era).Msg("a response of a former era of the platform's store is not used")
		}
		return era, false
	}
	tracker.era, tracker.warnedFormer = era, false
	receivers := tracker.onNewEra
	if latest == 0 {
		receivers = nil
	}
	tracker.mutex.Unlock()
	for _, receive := range receivers {
		receive(era)
	}
	return era, true
}
