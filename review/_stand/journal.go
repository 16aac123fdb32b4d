package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// execution is one run of a request at a replica.
type execution struct {
	replica string
	at      time.Duration
}

// entry is what is known about one attempt of a client.
type entry struct {
	id, route string
	sentAt    time.Duration
	// status is the status of the answer, or zero without one; note says how it ended then.
	status     int
	note       string
	answeredAt time.Duration
	// leftAt is when the client ended its sending side; zero if it did not.
	leftAt     time.Duration
	arrivals   []execution
	runs       []execution
	rejections []execution
}

// journal records what the clients sent, what they were answered, and what the replicas ran.
type journal struct {
	startedAt time.Time
	mutex     sync.Mutex
	entries   map[string]*entry
	order     []string
	notes     []string
}

func newJournal() *journal {
	return &journal{startedAt: time.Now(), entries: make(map[string]*entry)}
}

func (journal *journal) now() time.Duration {
	return time.Since(journal.startedAt)
}

// update calls change with the entry of a request, which is created if there is none.
func (journal *journal) update(id string, change func(entry *entry)) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	known, ok := journal.entries[id]
	if !ok {
		known = &entry{id: id}
		journal.entries[id] = known
		journal.order = append(journal.order, id)
	}
	change(known)
}

// note records an event of the case.
func (journal *journal) note(format string, values ...any) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.notes = append(journal.notes, fmt.Sprintf("%8.3f ", journal.now().Seconds())+fmt.Sprintf(format, values...))
}

// all returns the entries in the order in which they were created. It must not be called while the case runs.
func (journal *journal) all() []*entry {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	entries := make([]*entry, len(journal.order))
	for i, id := range journal.order {
		entries[i] = journal.entries[id]
	}
	return entries
}

func (journal *journal) summary() string {
	ends := make(map[string]int)
	runs := 0
	for _, entry := range journal.all() {
		ends[fmt.Sprintf("%d%s", entry.status, entry.note)]++
		runs += len(entry.runs)
	}
	return fmt.Sprintf("%d requests, %d runs, ends %v", len(journal.all()), runs, ends)
}

// write writes the record.
func (journal *journal) write(path string, violations []string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	writer := bufio.NewWriter(file)
	fmt.Fprintln(writer, journal.summary())
	for _, violation := range violations {
		fmt.Fprintln(writer, "BROKEN", violation)
	}
	slices.Sort(journal.notes)
	for _, note := range journal.notes {
		fmt.Fprintln(writer, note)
	}
	for _, entry := range journal.all() {
		fmt.Fprintf(writer, "%8.3f %s %s answered %d%s at %.3f", entry.sentAt.Seconds(), entry.id, entry.route, entry.status, entry.note,
			entry.answeredAt.Seconds())
		if entry.leftAt > 0 {
			fmt.Fprintf(writer, " client-left@%.3f", entry.leftAt.Seconds())
		}
		for _, rejection := range entry.rejections {
			fmt.Fprintf(writer, " rejected-by %s@%.3f", rejection.replica, rejection.at.Seconds())
		}
		for _, run := range entry.runs {
			fmt.Fprintf(writer, " run-by %s@%.3f", run.replica, run.at.Seconds())
		}
		fmt.Fprintln(writer)
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	return file.Close()
}
