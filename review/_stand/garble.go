package main

import (
	"fmt"
	"net/http"
	"time"
)

// The doses of the disruption are those of the site file kowhai-search: garble, "extra late across", share 0.5, x 0.04, for 5 s. It comes
// again after a pause.
const (
	garbleShare = 0.04
	garbleFor   = 5 * time.Second
	garblePause = time.Second
	// garbleFrom is later than the window of the retry budget after the start, in which a process grants few repeats.
	garbleFrom = 13 * time.Second
)

// garble makes replicas send some of their answers once more, again and again.
func garble(run *run, faulty []*replica, all int) {
	set := func(share float64) {
		for _, replica := range faulty {
			replica.setLateShare(share)
		}
	}
	time.Sleep(garbleFrom)
	for run.ctx.Err() == nil {
		set(garbleShare)
		run.journal.note("garble begins on %d of %d replicas", len(faulty), all)
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
