package swmember

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
)

// Defaults of Config.
const (
	defaultProbeEvery    = time.Second
	defaultProbeTimeout  = 300 * time.Millisecond
	defaultSuspectFor    = 3 * time.Second
	defaultExchangeEvery = 2 * time.Second
)

const (
	// pushPeers is the number of peers that get a new record at once, in the own data centre and, from a watcher, in
	// others.
	pushPeers = 3
	// pushEvery is the least time between two pushes.
	pushEvery = 50 * time.Millisecond
	// pushTimeout bounds one push.
	pushTimeout = 2 * time.Second
	// indirectProbes is the number of peers that are asked to probe a VM that does not answer.
	indirectProbes = 3
	// rejoinEvery is the time between two probes of an address that is not in the view: a dead member or a seed.
	rejoinEvery = 15 * time.Second
	// deadFor is how long a dead member is remembered, so that a data centre cut off for less does not bring it back.
	deadFor = 2 * time.Hour
	// recheckFirst and recheckMax bound the time between two probes of a member that did not answer this VM although
	// others hold it alive.
	recheckFirst = 2 * time.Second
	recheckMax   = 30 * time.Second
	// settleTime is how long records that came in just now have to reach the others by pushes.
	settleTime = 300 * time.Millisecond
	// maxSyncRounds bounds the rounds of one synchronization.
	maxSyncRounds = 32
	// syncTimeout bounds a synchronization.
	syncTimeout = 5 * time.Second
	// maxSummaries bounds the records listed in one round of a synchronization.
	maxSummaries = 2048
	// refuteEvery is the least time between two refutations.
	refuteEvery = 100 * time.Millisecond
	// witnessFactor is how much longer than the first suspecting member the others wait until they hold a suspect dead.
	witnessFactor = 2
)

// Config holds what a Directory is built from.
type Config struct {
	// Self is this VM. Its incarnation should be higher than that of an earlier process under the same name, such as the
	// milliseconds of the start since 1970; it is raised when others hold a higher one.
	Self      Member
	Transport Transport
	Records   *RecordStore
	// ProbeEvery is the time between two probes. The default is 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe may take before others are asked to probe. The default is 300 ms.
	ProbeTimeout time.Duration
	// SuspectFor is how long a suspect may refute before it counts as dead. The default is 3 s.
	SuspicionTimeout time.Duration
	// ExchangeEvery is the time between two exchanges of a watcher with other data centres. The default is 2 s.
	ExchangeInterval time.Duration
	// Seed sets the sequence of random choices; zero draws one.
	Seed uint64
	Log  zerolog.Logger

	// hold blocks while a test has the VM paused; it may be nil.
	hold func()
}

func (config *Config) setDefaults() {
	if config.ProbeInterval <= 0 {
		config.ProbeInterval = defaultProbeEvery
	}
	if config.ProbeTimeout <= 0 {
		config.ProbeTimeout = defaultProbeTimeout
	}
	if config.SuspicionTimeout <= 0 {
		config.SuspicionTimeout = defaultSuspectFor
	}
	if config.ExchangeInterval <= 0 {
		config.ExchangeInterval = defaultExchangeEvery
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	if config.hold == nil {
		config.hold = func() {}
	}
}
