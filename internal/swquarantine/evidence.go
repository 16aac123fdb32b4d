package swquarantine

import (
	"slices"
	"time"
)

const (
	// unknownWeight is the relative likelihood that a fingerprint that was not answered recently caused a crash.
	unknownWeight = 1.0
	// knownWeight is the relative likelihood for a fingerprint that was answered recently.
	knownWeight = 0.05
	// serverFaultWeight is the relative likelihood that the server crashed independently of any request.
	serverFaultWeight = 0.05
	// minClearShare is the share of the blame from which a crash counts as clear evidence against a fingerprint.
	minClearShare = 0.8
	// sameServerWeight discounts further crashes of a server that already crashed with the fingerprint in flight.
	sameServerWeight = 0.4
	// pointsPerCrash is the number of evidence points for one crash that is blamed entirely on one fingerprint.
	pointsPerCrash = 1000
	// quarantineScore is the score at which a fingerprint is quarantined. Clear crashes of two different servers reach it.
	quarantineScore = 1400
	// suspectScore is the score at which a fingerprint is suspect.
	suspectScore = 250
	// episodeWindow is the time within which crashes with shared blame count as one.
	episodeWindow = time.Second
	// maxServers is the maximum number of crashed servers remembered per fingerprint.
	maxServers = 16
)

// Evidence is the evidence that one VM has collected against a fingerprint since the VM started. Clear and Shared are in
// points, pointsPerCrash per crash.
type Evidence struct {
	_ struct{} `cbor:",toarray"`

	// Clear is the sum over crashes for which the fingerprint bears at least minClearShare of the blame.
	Clear uint32
	// Shared is the sum over episodes of crashes that other requests in flight, or the server itself, may have caused.
	Shared uint32
	// Deaths is the number of server crashes with the fingerprint in flight.
	Deaths uint32
}

// blameShares divides the blame for a crash among the fingerprints in flight and the server, and returns the shares.
func blameShares(inFlight []uint64, known func(fingerprint uint64) bool) map[uint64]float64 {
	shares := make(map[uint64]float64, len(inFlight))
	total := serverFaultWeight
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

// suspect holds the evidence against one fingerprint.
type suspect struct {
	// evidence holds the evidence of each VM by reporter ID.
	evidence map[string]Evidence
	// cleared is the part of each reporter's evidence that a later completion refuted.
	cleared map[string]Evidence
	// crashedServers lists the servers that this VM saw crash with the fingerprint in flight, the latest last.
	crashedServers []string
	// episodeStart is when this VM's latest episode of shared blame began. episodePoints is what the episode added.
	episodeStart  time.Time
	episodePoints uint32
	// lastCrash is when the latest evidence of a crash arrived.
	lastCrash time.Time
	// lastTrial is when this VM or another one last let a trial request through the quarantine.
	lastTrial time.Time
	// trials counts the trial requests of this VM, remoteTrials those of other VMs by reporter ID.
	trials       uint32
	remoteTrials map[string]uint32
}

func newSuspect() *suspect {
	return &suspect{
		evidence:     make(map[string]Evidence),
		cleared:      make(map[string]Evidence),
		remoteTrials: make(map[string]uint32),
	}
}

// addCrash adds a server crash to this VM's evidence. share is the fingerprint's share of the blame.
func (suspect *suspect) addCrash(reporter, server string, share float64, now time.Time) {
	evidence := suspect.evidence[reporter]
	evidence.Deaths++
	points := uint32(share * pointsPerCrash)
	if slices.Contains(suspect.crashedServers, server) {
		points = uint32(share * sameServerWeight * pointsPerCrash)
	} else {
		suspect.addServer(server)
	}
	if share >= minClearShare {
		evidence.Clear += points
	} else {
		evidence.Shared += suspect.addToEpisode(points, now)
	}
	suspect.evidence[reporter] = evidence
	suspect.lastCrash = now
}

// addServer appends a crashed server and forgets the earliest one beyond maxServers.
func (suspect *suspect) addServer(server string) {
	if len(suspect.crashedServers) == maxServers {
		suspect.crashedServers = slices.Delete(suspect.crashedServers, 0, 1)
	}
	suspect.crashedServers = append(suspect.crashedServers, server)
}

// addToEpisode returns the points to add for a crash with shared blame. Within one episode only the crash with the most
// points counts, because the fan-out of a healthy query may be in flight at many servers that another query crashes.
func (suspect *suspect) addToEpisode(points uint32, now time.Time) uint32 {
	if suspect.episodeStart.IsZero() || now.Sub(suspect.episodeStart) >= episodeWindow {
		suspect.episodeStart = now
		suspect.episodePoints = points
		return points
	}
	added := points - min(points, suspect.episodePoints)
	suspect.episodePoints += added
	return added
}

// score sums the evidence that no completion refuted: the clear evidence of all VMs, and the shared evidence of the VM
// with the most, because several VMs see the same episode.
func (suspect *suspect) score() uint32 {
	var clearTotal, maxShared uint32
	for reporter, evidence := range suspect.evidence {
		cleared := suspect.cleared[reporter]
		clearTotal += evidence.Clear - min(evidence.Clear, cleared.Clear)
		maxShared = max(maxShared, evidence.Shared-min(evidence.Shared, cleared.Shared))
	}
	return clearTotal + maxShared
}

// crashes returns the number of crashes that no completion refuted.
func (suspect *suspect) crashes() int {
	total := 0
	for reporter, evidence := range suspect.evidence {
		total += int(evidence.Deaths - min(evidence.Deaths, suspect.cleared[reporter].Deaths))
	}
	return total
}

// disprove marks all evidence so far as refuted.
func (suspect *suspect) disprove() {
	for reporter, evidence := range suspect.evidence {
		suspect.cleared[reporter] = evidence
	}
	suspect.crashedServers = nil
	suspect.episodeStart = time.Time{}
}

// mergeCleared merges the evidence that another VM saw refuted.
func (suspect *suspect) mergeCleared(cleared map[string]Evidence) {
	for reporter, evidence := range cleared {
		present := suspect.cleared[reporter]
		suspect.cleared[reporter] = Evidence{
			Clear:  max(present.Clear, evidence.Clear),
			Shared: max(present.Shared, evidence.Shared),
			Deaths: max(present.Deaths, evidence.Deaths),
		}
	}
}
