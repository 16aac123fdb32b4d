package swquarantine

import (
	"slices"
	"time"
)

const (
	// unknownWeight is the likelihood that a fingerprint that was never answered caused a crash, relative to the others.
	unknownWeight = 1.0
	// knownWeight is that of a fingerprint that was answered lately.
	knownWeight = 0.05
	// selfWeight is that of the server having died by itself.
	selfWeight = 0.05
	// clearShare is the share of the blame for a death from which the death counts as clear evidence.
	clearShare = 0.8
	// sameServerFactor discounts a further death of a server that died under the fingerprint before.
	sameServerFactor = 0.4
	// fullBlame is one whole death in the units of Evidence.
	fullBlame = 1000
	// quarantineScore is the score from which a fingerprint is quarantined: two deaths of different servers.
	quarantineScore = 1400
	// suspectScore is the score from which a fingerprint is suspect.
	suspectScore = 250
	// episodeLength is the time within which deaths with shared blame count as one.
	episodeLength = time.Second
	// maxServers bounds the servers that are remembered of one fingerprint.
	maxServers = 16
)

// Evidence is the blame that one VM has gathered against a fingerprint since it started, in thousandths of a death.
type Evidence struct {
	_ struct{} `cbor:",toarray"`

	// Clear is the sum over deaths that hardly anything else explains.
	Clear uint32
	// Shared is the sum over episodes of deaths that other requests in flight, or the server itself, may have caused.
	Shared uint32
	// Deaths is the number of deaths with the fingerprint in flight.
	Deaths uint32
}

// blame returns the share of the blame for a death that falls on each fingerprint in flight.
func blame(inFlight []uint64, known func(fingerprint uint64) bool) map[uint64]float64 {
	shares := make(map[uint64]float64, len(inFlight))
	total := selfWeight
	for _, fingerprint := range inFlight {
		if _, counted := shares[fingerprint]; counted {
			continue
		}
		weight := unknownWeight
		if known(fingerprint) {
			weight = knownWeight
		}
		shares[fingerprint] = weight
		total += weight
	}
	for fingerprint, weight := range shares {
		shares[fingerprint] = weight / total
	}
	return shares
}

// subject is what is known of one fingerprint under suspicion.
type subject struct {
	// reports is the evidence of each VM by reporter.
	reports map[string]Evidence
	// cleared is the part of each reporter's evidence that a later completion disproved.
	cleared map[string]Evidence
	// servers are those that died here with the fingerprint in flight, the latest last.
	servers []string
	// episode is when the last episode of shared blame began here, and episodeBlame what it added.
	episode      time.Time
	episodeBlame uint32
	// lastDeath is when the latest evidence arrived.
	lastDeath time.Time
	// lastTrial is when a request was last let through from quarantine, here or at another VM.
	lastTrial time.Time
	// trials counts the requests that this VM let through, heardTrials those of others by reporter.
	trials      uint32
	heardTrials map[string]uint32
}

func newSubject() *subject {
	return &subject{
		reports:     make(map[string]Evidence),
		cleared:     make(map[string]Evidence),
		heardTrials: make(map[string]uint32),
	}
}

// died adds a death of a server to the evidence of this VM.
func (subject *subject) died(reporter, server string, share float64, now time.Time) {
	evidence := subject.reports[reporter]
	evidence.Deaths++
	points := uint32(share * fullBlame)
	if slices.Contains(subject.servers, server) {
		points = uint32(share * sameServerFactor * fullBlame)
	} else {
		subject.remember(server)
	}
	if share >= clearShare {
		evidence.Clear += points
	} else {
		evidence.Shared += subject.sharedPoints(points, now)
	}
	subject.reports[reporter] = evidence
	subject.lastDeath = now
}

func (subject *subject) remember(server string) {
	if len(subject.servers) == maxServers {
		subject.servers = slices.Delete(subject.servers, 0, 1)
	}
	subject.servers = append(subject.servers, server)
}

// sharedPoints returns what a death with shared blame adds: within one episode only what exceeds the greatest so far, as
// one fan-out beside another meets it at many servers at once.
func (subject *subject) sharedPoints(points uint32, now time.Time) uint32 {
	if subject.episode.IsZero() || now.Sub(subject.episode) >= episodeLength {
		subject.episode = now
		subject.episodeBlame = points
		return points
	}
	added := points - min(points, subject.episodeBlame)
	subject.episodeBlame += added
	return added
}

// score sums the evidence that no completion disproved: the clear deaths of all VMs, and the shared ones of the VM that
// saw most, as several VMs see one episode.
func (subject *subject) score() uint32 {
	var clearTotal, sharedMost uint32
	for reporter, evidence := range subject.reports {
		cleared := subject.cleared[reporter]
		clearTotal += evidence.Clear - min(evidence.Clear, cleared.Clear)
		sharedMost = max(sharedMost, evidence.Shared-min(evidence.Shared, cleared.Shared))
	}
	return clearTotal + sharedMost
}

// deaths counts the deaths that no completion disproved.
func (subject *subject) deaths() int {
	total := 0
	for reporter, evidence := range subject.reports {
		total += int(evidence.Deaths - min(evidence.Deaths, subject.cleared[reporter].Deaths))
	}
	return total
}

// clear disproves all the evidence so far.
func (subject *subject) clear() {
	for reporter, evidence := range subject.reports {
		subject.cleared[reporter] = evidence
	}
	subject.servers = nil
	subject.episode = time.Time{}
}

// mergeCleared takes over what another VM disproved.
func (subject *subject) mergeCleared(cleared map[string]Evidence) {
	for reporter, evidence := range cleared {
		present := subject.cleared[reporter]
		subject.cleared[reporter] = Evidence{
			Clear:  max(present.Clear, evidence.Clear),
			Shared: max(present.Shared, evidence.Shared),
			Deaths: max(present.Deaths, evidence.Deaths),
		}
	}
}
