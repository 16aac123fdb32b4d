package swreach

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

// TestEvidenceForCheck lists what calls for a check of the links to a data centre with ten servers, and what does not.
func TestEvidenceForCheck(t *testing.T) {
	for name, test := range map[string]struct {
		observe   func(judge *Judge)
		elsewhere int
		after     time.Duration
		want      Evidence
	}{
		"nothing":                    {func(*Judge) {}, 0, time.Second, NoEvidence},
		"one silent server":          {func(judge *Judge) { judge.Unanswered(start, "a") }, 0, 0, NoEvidence},
		"two silent servers":         {func(judge *Judge) { judge.Unanswered(start, "a"); judge.Unanswered(start, "b") }, 0, 0, Silent},
		"one silent server for long": {func(judge *Judge) { judge.Unanswered(start, "a") }, 0, persistence, Silent},
		"two silent servers while a third answers": {func(judge *Judge) {
			judge.Unanswered(start, "a")
			judge.Unanswered(start, "b")
			judge.Heard(start, start)
		}, 0, persistence, NoEvidence},
		"two servers that refuse, with answers on open connections": {func(judge *Judge) {
			judge.NotOpened(start, "a")
			judge.NotOpened(start, "b")
			judge.Heard(start.Add(1), start.Add(-time.Hour))
		}, 0, time.Hour, NoEvidence},
		"three servers that refuse, with answers on open connections": {func(judge *Judge) {
			for _, server := range []string{"a", "b", "c"} {
				judge.NotOpened(start, server)
			}
			judge.Heard(start.Add(1), start.Add(-time.Hour))
		}, 0, 0, Refused},
		"three servers that refuse before a connection was opened": {func(judge *Judge) {
			for _, server := range []string{"a", "b", "c"} {
				judge.NotOpened(start, server)
			}
			judge.Opened()
		}, 0, 0, NoEvidence},
		"one server that refuses, and two elsewhere":           {func(judge *Judge) { judge.NotOpened(start, "a") }, 2, 0, Refused},
		"one server that refuses for long, without any answer": {func(judge *Judge) { judge.NotOpened(start, "a") }, 0, persistence, Refused},
	} {
		t.Run(name, func(t *testing.T) {
			judge := &Judge{}
			test.observe(judge)
			if diff := cmp.Diff(test.want, judge.BeginCheck(start.Add(test.after), 10, test.elsewhere)); diff != "" {
				t.Error("evidence (-want +got):\n" + diff)
			}
		})
	}
}

// TestChecksThatFindServersBecomeRare guards against a check after each failure while several servers are down by themselves.
func TestChecksThatFindServersBecomeRare(t *testing.T) {
	judge := &Judge{}
	checks := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		judge.Unanswered(now, "a")
		judge.Unanswered(now, "b")
		if judge.BeginCheck(now, 10, 0) != NoEvidence {
			checks++
			judge.EndCheck(now, CheckAnswered)
		}
	}
	if checks > 11 {
		t.Errorf("%d checks in a minute, want no more than those at 0.5 s to 8 s", checks)
	}
}

// TestLinksReturnOverReturning checks the states from a loss until the links are in use again.
func TestLinksReturnOverReturning(t *testing.T) {
	judge := &Judge{}
	var states []State
	record := func() { states = append(states, judge.State()) }
	judge.BeginRelatedCheck()
	record()
	judge.EndCheck(start, CheckFailed)
	record()
	judge.Return()
	record()
	judge.EndReturn(false)
	record()
	judge.Return()
	judge.EndReturn(true)
	record()
	if diff := cmp.Diff([]State{Checking, Lost, Returning, Lost, Reached}, states); diff != "" {
		t.Error("states (-want +got):\n" + diff)
	}
	if judge.Doubted() {
		t.Error("the links are in doubt after their return")
	}
}
