package swobservation

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxVMAttempts and maxCentreAttempts bound the weight of one VM and of one other data centre in a merge. A VM whose own link is broken
	// may send many requests, all of them lost.
	maxVMAttempts     = 4
	maxCentreAttempts = 16
	// minUnusual is the decayed number of unusual attempts from which a replica counts as unusual: one attempt of two seconds ago.
	minUnusual = 0.25
)

// source is a VM, or the VM that reported for a whole data centre.
type source struct {
	counts     map[Key]Counts
	receivedAt time.Time
	// maxAttempts bounds the weight of the source for one replica.
	maxAttempts float64
}

// contribution is what one source adds to a merge.
type contribution struct {
	source string
	Counts
}

// merged is the sum of all contributions for a replica. The two sources with the most unusual attempts are kept, so that the sum can be
// taken without one source and the largest contribution can be limited to the size of the others.
type merged struct {
	sum     Counts
	vms     int
	largest [2]contribution
}

func (merged *merged) add(added contribution) {
	merged.sum = merged.sum.plus(added.Counts)
	if added.unusual() < minUnusual {
		return
	}
	merged.vms++
	switch {
	case added.unusual() > merged.largest[0].unusual():
		merged.largest = [2]contribution{added, merged.largest[0]}
	case added.unusual() > merged.largest[1].unusual():
		merged.largest[1] = added
	}
}

// without returns what the other sources saw of a replica, given what one of them contributed. No source counts for more than all others
// together.
func (merged *merged) without(excluded contribution) (counts Counts, vms int) {
	counts, vms = merged.sum, merged.vms
	largest := merged.largest[0]
	if excluded.source != "" {
		counts = counts.plus(excluded.times(-1))
		if excluded.unusual() >= minUnusual {
			vms--
		}
		if largest.source == excluded.source {
			largest = merged.largest[1]
		}
	}
	if vms < 2 {
		return counts, vms
	}
	if rest := counts.unusual() - largest.unusual(); largest.unusual() > rest {
		counts = counts.plus(largest.times(rest/largest.unusual() - 1))
	}
	return counts, vms
}

// contributionOf returns what a source contributes for a replica; the zero contribution if it did not report it.
func (source *source) contributionOf(name string, replica Key, now time.Time) contribution {
	counts, ok := source.counts[replica]
	if !ok {
		return contribution{}
	}
	return contribution{source: name, Counts: counts.times(decay(now.Sub(source.receivedAt))).atMost(source.maxAttempts)}
}

// merge adds up the contributions of sources by replica.
func merge(now time.Time, groups ...map[string]*source) map[Key]*merged {
	result := make(map[Key]*merged)
	for _, sources := range groups {
		for name, source := range sources {
			for replica := range source.counts {
				contribution := source.contributionOf(name, replica, now)
				sum, ok := result[replica]
				if !ok {
					sum = &merged{}
					result[replica] = sum
				}
				sum.add(contribution)
			}
		}
	}
	return result
}

// newSource returns a source with the entries of a report.
func newSource(now time.Time, report Report, maxAttempts float64) *source {
	counts := make(map[Key]Counts, len(report))
	for _, entry := range report {
		counts[entry.Replica] = entry.Counts
	}
	return &source{counts: counts, receivedAt: now, maxAttempts: maxAttempts}
}

// mostUnusual returns the replicas with the most unusual attempts, at most as many as given.
func mostUnusual(merged map[Key]*merged, most int) []Key {
	keys := make([]Key, 0, len(merged))
	for replica, sum := range merged {
		if sum.sum.unusual() >= minUnusual {
			keys = append(keys, replica)
		}
	}
	if len(keys) > most {
		slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(merged[b].sum.unusual(), merged[a].sum.unusual()) })
		keys = keys[:most]
	}
	return keys
}
