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
	// minServers is the number of servers that must fail before a check, or all servers if there are fewer. One or two servers crash or stall by themselves.
	minServers = 3
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
	// refusedSince is when the first server of refused failed.
	refusedSince time.Time
	evidence     Evidence
	// changed is closed when the state changes.
	changed       chan struct{}
	checkedAt     time.Time
	checkInterval time.Duration
}

// State returns the state of the links.
func (judge *Judge) State() State {
	return State(judge.state.Load())
}

// Doubted reports whether something speaks against the links, so that the failure of a server is no evidence of its own state.
func (judge *Judge) Doubted() bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return judge.State() != Reached || len(judge.silent)+len(judge.refused) > 0
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
func (judge *Judge) Unanswered(server string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	if judge.silent == nil {
		judge.silent = make(map[string]struct{})
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

// BeginCheck begins a check if the evidence calls for one, given the number of servers in the data centre, and returns the evidence. The
// caller must call EndCheck.
func (judge *Judge) BeginCheck(now time.Time, servers int) Evidence {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	enough := min(minServers, servers)
	evidence := NoEvidence
	switch {
	case enough == 0 || judge.State() != Reached || now.Sub(judge.checkedAt) < judge.checkInterval:
	case len(judge.silent) >= enough:
		evidence = Silent
	case len(judge.refused) >= enough:
		evidence = Refused
	}
	if evidence != NoEvidence {
		judge.begin(evidence)
	}
	return evidence
}

// BeginRelatedCheck begins a check because this VM has lost its links to another data centre, and reports whether it did.
func (judge *Judge) BeginRelatedCheck() bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	if judge.State() != Reached {
		return false
	}
	judge.begin(Related)
	return true
}

func (judge *Judge) begin(evidence Evidence) {
	judge.evidence = evidence
	judge.set(Checking)
}

// EndCheck ends a check that connected to a server or to none.
func (judge *Judge) EndCheck(now time.Time, connected bool) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	if !connected {
		judge.set(Lost)
		return
	}
	if now.Sub(judge.checkedAt) > calmAfter {
		judge.checkInterval = minCheckInterval / 2
	}
	judge.checkInterval = min(maxCheckInterval, 2*judge.checkInterval)
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

// Cause returns the evidence that led to the last check.
func (judge *Judge) Cause() Evidence {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return judge.evidence
}
