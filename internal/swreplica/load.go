package swreplica

import (
	"math"
	"time"
)

// Load is what a replica says about its load at the moment of a response.
type Load struct {
	// Running and Waiting count the requests that the replica runs and queues, from all VMs.
	Running int
	Waiting int
	// Slots is the number of requests that it runs at once.
	Slots int
	// Slowdown is how long work takes now as a multiple of the usual time.
	Slowdown float64
}

const (
	// loadHalfLife is the age at which a reported load counts half in the expected latency. The slowdown of a machine changes several times
	// a second, and a queue of a dozen requests of ten milliseconds is done in this time.
	loadHalfLife = 100 * time.Millisecond
	// maxLoadAge is the age from which a reported load does not count: its weight is under 2 per cent.
	maxLoadAge = 6 * loadHalfLife
	// minLoadFactor and maxLoadFactor bound what a report makes of the latency that this VM expects by its own observations, so that a false
	// report neither attracts all requests nor keeps them away for good.
	minLoadFactor = 0.5
	maxLoadFactor = 4.0
)

// loadReport is a load with the time at which this VM learned of it.
type loadReport struct {
	// change is the load's factor divided by the average of those of the latest reports.
	change  float64
	average float64
	at      time.Time
}

// factor returns how much longer a request would take than on an idle replica of usual speed. A request that finds a slot free takes the usual
// time; each further one of a full round of slots adds that time.
func (load *Load) factor() float64 {
	slots := float64(max(1, load.Slots))
	return load.Slowdown * (1 + max(0, float64(load.Running)+float64(load.Waiting)+1-slots)/slots)
}

// observeLoad records the load in a response. Reports are judged by their changes alone: the average latency of the replica, over about as many
// answers, tells what the average report means. So a replica whose reports never change, or are false by a constant factor, is treated like
// one that reports nothing.
func (replica *Replica) observeLoad(now time.Time, load Load) {
	factor := load.factor()
	reports := replica.reports
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	report := &loadReport{change: 1, average: factor, at: now}
	if former := reports.load.Load(); former != nil {
		clipped := min(factor, latencyClipFactor*former.average)
		report.average = former.average + latencyWeight*(clipped-former.average)
		report.change = factor / report.average
	}
	reports.load.Store(report)
}

// reportedLoad returns the change of the load in the latest report, and its weight from 0 to 1.
func (reportState *reportState) reportedLoad(now time.Time) (change, weight float64) {
	report := reportState.load.Load()
	if report == nil {
		return 1, 0
	}
	age := max(0, now.Sub(report.at))
	if age >= maxLoadAge {
		return 1, 0
	}
	return report.change, math.Exp2(-float64(age) / float64(loadHalfLife))
}

// withReportedLoad moves an expected latency towards the one that the reported load suggests, by the weight of the report.
func (candidate *Candidate) withReportedLoad(expected time.Duration) time.Duration {
	if candidate.LoadWeight <= 0 {
		return expected
	}
	change := min(max(candidate.LoadChange, minLoadFactor), maxLoadFactor)
	return time.Duration(float64(expected) * (1 + candidate.LoadWeight*(change-1)))
}
