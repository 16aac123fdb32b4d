package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Parameters of the case late-rejection. The doses of the disruption are those of the site file kowhai-search: garble, "extra late across",
// share 0.5, x 0.04, for 5 s. It comes again after a pause.
const (
	garbleShare = 0.04
	garbleFor   = 5 * time.Second
	garblePause = time.Second
	// garbleFrom is later than the window of the retry budget after the start, in which a process grants few repeats.
	garbleFrom = 13 * time.Second
	machines   = 9
	// Each of the services has three replicas of two slots, as those of treasurer-desk, and gets a third more requests than it can run.
	services           = 5
	replicasPerService = 3
	slotsPerReplica    = 2
	queuePerReplica    = 2
	meanWork           = 100 * time.Millisecond
	requestRate        = 400.0
	clientPool         = 1500
	loadTime           = 92 * time.Second
)

// lateRejection sends requests that must not be repeated to services that are full at times, and lets half of the replicas send a few of
// their answers a second time, where the next response is expected.
func lateRejection(run *run) ([]string, error) {
	if err := run.startStore(); err != nil {
		return nil, err
	}
	var faulty []*replica
	for number := range services * replicasPerService {
		replica, err := startReplica(run, replicaConfig{
			id: fmt.Sprintf("i-%d", number+1), service: fmt.Sprintf("levy-%d", number/replicasPerService+1), zone: zones[number%len(zones)],
			slots: slotsPerReplica, queue: queuePerReplica, maxConnections: 26,
			work: func() time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(meanWork)) },
		})
		if err != nil {
			return nil, err
		}
		if number%2 == 1 {
			faulty = append(faulty, replica)
		}
	}
	if err := run.startGateways(machines); err != nil {
		return nil, err
	}
	if run.options.trouble {
		run.goroutine(func() { garble(run, faulty) })
	}
	run.load(run.fronts(), clientPool, requestRate, loadTime, func() *call {
		path := fmt.Sprintf("/levy-%d/%s", 1+rand.IntN(services), newID())
		return &call{method: http.MethodPost, host: "levy.example", path: path, route: path[:7], body: []byte("notice " + newID()), timeout: 6 * time.Second}
	})
	return checkOnce(run), nil
}

// garble makes replicas send some of their answers once more, again and again.
func garble(run *run, faulty []*replica) {
	set := func(share float64) {
		for _, replica := range faulty {
			replica.setLateShare(share)
		}
	}
	time.Sleep(garbleFrom)
	for run.ctx.Err() == nil {
		set(garbleShare)
		run.journal.note("garble begins on %d of %d replicas", len(faulty), services*replicasPerService)
		time.Sleep(garbleFor)
		set(0)
		run.journal.note("garble ends")
		time.Sleep(garblePause)
	}
}

// checkOnce returns the requests that ran twice, and those that ran although their answer promises that they did not.
func checkOnce(run *run) []string {
	var violations []string
	for _, entry := range run.journal.all() {
		promised := entry.status == http.StatusServiceUnavailable || entry.status == http.StatusTooManyRequests ||
			entry.status == http.StatusRequestTimeout || entry.status == http.StatusMisdirectedRequest
		switch {
		case len(entry.runs) > 1:
			violations = append(violations, fmt.Sprintf("TWICE: %s was answered %d and ran %d times: %s", entry.id, entry.status, len(entry.runs), describe(entry.runs)))
		case promised && len(entry.runs) > 0:
			violations = append(violations, fmt.Sprintf("REFUSED: %s was answered %d and ran: %s", entry.id, entry.status, describe(entry.runs)))
		}
	}
	return violations
}

// describe lists the replicas and times of runs.
func describe(runs []execution) string {
	text := ""
	for _, run := range runs {
		text += fmt.Sprintf("%s@%.3f ", run.replica, run.at.Seconds())
	}
	return text
}
