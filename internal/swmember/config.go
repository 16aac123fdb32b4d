package swmember

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
)

// Defaults of Config.
const (
	defaultProbeInterval    = time.Second
	defaultProbeTimeout     = 300 * time.Millisecond
	defaultSuspicionTimeout = 3 * time.Second
	defaultExchangeInterval = 2 * time.Second
)

const (
	// pushFanout is the number of peers in this data centre to which a new record is pushed. A watcher also pushes it to as
	// many other data centres.
	pushFanout = 3
	// minPushInterval is the minimum time between two pushes.
	minPushInterval = 50 * time.Millisecond
	// pushTimeout is the timeout of one push.
	pushTimeout = 2 * time.Second
	// indirectProbeCount is the number of peers that are asked to probe a VM that did not answer.
	indirectProbeCount = 3
	// rejoinInterval is the mean time between two probes of addresses that are not in the view: dead members and seeds.
	rejoinInterval = 15 * time.Second
	// deadRetention is how long a dead member's record is kept, so that a data centre partitioned for less does not revive it.
	deadRetention = 2 * time.Hour
	// initialRecheckDelay and maxRecheckDelay bound the exponential backoff between probes of a member that did not answer
	// this VM.
	initialRecheckDelay = 2 * time.Second
	maxRecheckDelay     = 30 * time.Second
	// propagationDelay is the time that pushes have to deliver a new record before differing record stores are synchronized.
	propagationDelay = 300 * time.Millisecond
	// maxSyncRounds bounds the rounds of one synchronization.
	maxSyncRounds = 32
	// syncTimeout is the timeout of a synchronization.
	syncTimeout = 5 * time.Second
	// maxSummaries bounds the records listed in one round of a synchronization.
	maxSummaries = 2048
	// minRefuteInterval is the minimum time between two refutations.
	minRefuteInterval = 100 * time.Millisecond
	// indirectSuspicionFactor multiplies the suspicion timeout on all VMs but the one that suspected first.
	indirectSuspicionFactor = 2
)

// Config configures a Directory.
type Config struct {
	// Self is this VM. Its incarnation should be higher than that of an earlier process with the same name, for example the
	// start time in milliseconds since 1970. It is raised when other VMs know a higher one.
	Self      Member
	Transport Transport
	Records   *RecordStore
	// ProbeInterval is the time between two probes. The default is 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is the timeout of a direct probe, after which peers are asked to probe the member. The default is 300 ms.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time a suspect has to refute before it is declared dead. The default is 3 s.
	SuspicionTimeout time.Duration
	// ExchangeInterval is the time between a watcher's exchanges with other data centres. The default is 2 s.
	ExchangeInterval time.Duration
	// Seed seeds the random number generator; zero selects a random seed.
	Seed uint64
	Log  zerolog.Logger

	// waitWhilePaused blocks while a test pauses the VM; it may be nil.
	waitWhilePaused func()
}

func (config *Config) setDefaults() {
	if config.ProbeInterval <= 0 {
		config.ProbeInterval = defaultProbeInterval
	}
	if config.ProbeTimeout <= 0 {
		config.ProbeTimeout = defaultProbeTimeout
	}
	if config.SuspicionTimeout <= 0 {
		config.SuspicionTimeout = defaultSuspicionTimeout
	}
	if config.ExchangeInterval <= 0 {
		config.ExchangeInterval = defaultExchangeInterval
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	if config.waitWhilePaused == nil {
		config.waitWhilePaused = func() {}
	}
}
