// Package swreach judges whether this VM reaches the backend servers of a data centre. A VM that has lost its links sees the same as one whose
// servers have all failed: connections that are refused or reset, and requests without an answer. Several servers that fail this VM at once,
// while none answers, are grounds for a check; only a check that connects to none of them shows that the links are lost.
//
// The package does no I/O and receives the time as an argument; swreplica reports what it observes and runs the checks.
package swreach

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Silence is the time without any answer from a data centre from which requests that wait for one count as evidence. It is about half as
	// long as servers commonly stall.
	Silence = 100 * time.Millisecond
	// minSilent is the number of servers that must owe an answer before a check, and minRefused that of those which can't be connected to, or all
	// servers if there are fewer. Some servers are down by themselves while others answer on open connections.
	minSilent  = 2
	minRefused = 3
	// persistence is the time after which a single server is enough, if nothing was heard from the data centre since it failed.
	persistence = 300 * time.Millisecond
	// minCheckInterval is the time after a check that found a server within which there is no other check. It doubles up to maxCheckInterval
	// while checks keep finding one.
	minCheckInterval = 500 * time.Millisecond
	maxCheckInterval = 8 * time.Second
	// calmAfter is the time without a check after which the interval is short again.
	calmAfter = 2 * maxCheckInterval
)

// State is what a VM knows about its links to the servers of a data centre.
type State int32

// The states of the links to a data centre.
const (
	// Reached is that nothing speaks against the links.
	Reached State = iota
	// Checking is that a check is running. Requests are sent as before.
	Checking
	// Lost is that the check reached no server. No request opens a connection there.
	Lost
	// Returning is that a server was reached again. Connections are opened one by one.
	Returning
)

// String returns the name of the state.
func (state State) String() string {
	return [...]string{"Reached", "Checking", "Lost", "Returning"}[state]
}

// CheckResult is the best that a check got from one of the servers.
type CheckResult int

// Results of a check, the worst first.
const (
	// CheckFailed is that no connection could be opened, or that it was reset.
	CheckFailed CheckResult = iota
	// CheckConnected is that a connection was opened, on which nothing arrived in time. What is in front of the servers may have opened it.
	CheckConnected
	// CheckAnswered is that a server answered.
	CheckAnswered
)

// Evidence is what led to a check.
type Evidence string

// The kinds of evidence.
const (
	// NoEvidence does not call for a check.
	NoEvidence Evidence = ""
	// Silent is that several servers have not answered, or have lost their connections, and nothing arrived since.
	Silent Evidence = "silent"
	// Refused is that several servers could not be connected to, and no connection was opened since. Open connections may still work.
	Refused Evidence = "refused"
	// Related is that this VM has lost its links to another data centre.
	Related Evidence = "related"
)

// Judge judges the links to one data centre. It is safe for concurrent use. The zero value is that of links against which nothing speaks.
type Judge struct {
	// state is read by each attempt, without the mutex.
	state atomic.Int32

	mutex sync.Mutex
	// heardAt is when something last arrived from a server.
	heardAt time.Time
	// silent and refused hold the servers that have failed since the last answer, and since the last connection was opened.
	silent, refused map[string]struct{}
	// silentSince and refusedSince are when the first server of each failed.
	silentSince, refusedSince time.Time
	// changed is closed when the state changes.
	changed       chan struct{}
	checkedAt     time.Time
	checkInterval time.Duration
	// connectedOnly is set if the last check opened a connection and got no answer.
	connectedOnly bool
}

// State returns the state of the links.
func (judge *Judge) State() State {
	return State(judge.state.Load())
}

// AllSilent reports whether so many of the servers fail to answer that no answer is to be expected on open connections.
func (judge *Judge) AllSilent(servers int) bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return servers > 0 && len(judge.silent) >= min(minSilent, servers)
}

// Doubted reports whether several servers speak against the links, so that either these or the server may be at fault for a failure.
func (judge *Judge) Doubted() bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return judge.State() != Reached || max(len(judge.silent), len(judge.refused)) > 1
}

// HeardAt returns when something last arrived from a server.
func (judge *Judge) HeardAt() time.Time {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return judge.heardAt
}

// Heard records that a server answered on a connection that was opened at a time.
func (judge *Judge) Heard(now, openedAt time.Time) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.heardAt = now
	clear(judge.silent)
	if openedAt.After(judge.refusedSince) {
		clear(judge.refused)
	}
}

// Opened records that a connection was opened.
func (judge *Judge) Opened() {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	clear(judge.refused)
}

// Unanswered records a server that has not answered in time, or whose connection ended instead.
func (judge *Judge) Unanswered(now time.Time, server string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	if len(judge.silent) == 0 {
		judge.silent, judge.silentSince = make(map[string]struct{}), now
	}
	judge.silent[server] = struct{}{}
}

// NotOpened records a server to which no connection could be opened.
func (judge *Judge) NotOpened(now time.Time, server string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	if len(judge.refused) == 0 {
		judge.refused, judge.refusedSince = make(map[string]struct{}), now
	}
	judge.refused[server] = struct{}{}
}

// Refuted reports whether no server speaks against the links any more.
func (judge *Judge) Refuted() bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return len(judge.silent) == 0 && len(judge.refused) == 0
}

// Refused returns the number of servers that could not be connected to since the last connection was opened.
func (judge *Judge) Refused() int {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return len(judge.refused)
}

// HasEvidence reports whether a check may be called for. It is cheaper to find out than BeginCheck.
func (judge *Judge) HasEvidence(now time.Time) bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return judge.State() == Reached && len(judge.silent)+len(judge.refused) > 0 && now.Sub(judge.checkedAt) >= judge.checkInterval
}

// BeginCheck begins a check if the evidence calls for one, and returns the evidence. servers is the number of servers in the data centre, and
// refusedElsewhere that of servers in others that can't be connected to either. After a check the caller must call EndCheck.
func (judge *Judge) BeginCheck(now time.Time, servers, refusedElsewhere int) Evidence {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	evidence := NoEvidence
	switch {
	case servers == 0 || judge.State() != Reached || now.Sub(judge.checkedAt) < judge.checkInterval:
	case len(judge.silent) >= min(minSilent, servers), len(judge.silent) > 0 && now.Sub(judge.silentSince) >= persistence:
		evidence = Silent
	case len(judge.refused) >= min(minRefused, servers), len(judge.refused) > 0 && len(judge.refused)+refusedElsewhere >= minRefused, judge.refusesForLong(now):
		evidence = Refused
	}
	if evidence != NoEvidence {
		judge.set(Checking)
	}
	return evidence
}

// refusesForLong reports whether a server has refused connections for some time, while nothing was heard from any. The caller holds the mutex.
func (judge *Judge) refusesForLong(now time.Time) bool {
	return len(judge.refused) > 0 && now.Sub(judge.refusedSince) >= persistence && judge.heardAt.Before(judge.refusedSince)
}

// BeginRelatedCheck begins a check because this VM has lost its links to another data centre, and reports whether it did.
func (judge *Judge) BeginRelatedCheck() bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	if judge.State() != Reached {
		return false
	}
	judge.set(Checking)
	return true
}

// EndCheck ends a check. The links are lost if no connection could be opened, or if two checks in a row got no answer and none arrived between
// them.
func (judge *Judge) EndCheck(now time.Time, result CheckResult) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	isRepeated := judge.connectedOnly && judge.heardAt.Before(judge.checkedAt)
	judge.connectedOnly = result == CheckConnected
	if result == CheckFailed || result == CheckConnected && isRepeated {
		judge.set(Lost)
		return
	}
	if now.Sub(judge.checkedAt) > calmAfter {
		judge.checkInterval = minCheckInterval / 2
	}
	judge.checkInterval = min(maxCheckInterval, 2*judge.checkInterval)
	if result == CheckConnected {
		judge.checkInterval = minCheckInterval
	}
	judge.checkedAt = now
	judge.forget()
	judge.set(Reached)
}

// Return records that a server was reached again.
func (judge *Judge) Return() {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.forget()
	judge.set(Returning)
}

// EndReturn ends the opening of connections after the return. The links are lost again if none could be opened.
func (judge *Judge) EndReturn(reached bool) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	if !reached {
		judge.set(Lost)
		return
	}
	judge.forget()
	judge.set(Reached)
}

// forget drops all evidence. The caller holds the mutex.
func (judge *Judge) forget() {
	clear(judge.silent)
	clear(judge.refused)
}

// set changes the state. The caller holds the mutex.
func (judge *Judge) set(state State) {
	judge.state.Store(int32(state))
	if judge.changed != nil {
		close(judge.changed)
		judge.changed = nil
	}
}

// Changed returns the state and a channel that is closed when it changes.
func (judge *Judge) Changed() (State, <-chan struct{}) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	if judge.changed == nil {
		judge.changed = make(chan struct{})
	}
	return judge.State(), judge.changed
}
