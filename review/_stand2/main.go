// Command stand runs one case of the review: it starts the program under test as separate processes, in front of stand-ins of the
// platform's store, of backend servers and of clients. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

//go:embed names.json
var namesFile []byte

// names are the names of headers and fields on the users' platform.
var names struct {
	RequestID, Deadline, Instance, Stamp, NotRun, Parts, Missing, ReplicaID, PathPrefix, RouteType, Coverage, WarmUpLeft, Weighted string
}

// tasks holds all goroutines of the command.
var tasks sync.WaitGroup

// record is where a case writes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// printf writes a line with the time since the beginning of the case.
func (record *record) printf(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(record.began).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
	_, _ = os.Stdout.WriteString(line)
	_, _ = record.file.WriteString(line)
}

// The results of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// environment is what a case runs in.
type environment struct {
	*record
	directory string
	// trouble is set unless the case runs without its disruption.
	trouble bool
}

// cases are the cases by name.
var cases = map[string]func(environment *environment) int{}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return couldNot
	}
	if err := json.Unmarshal(namesFile, &names); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = file.Close() }()
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(directory) }()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	tasks.Go(func() {
		<-signals
		for _, deployment := range deployments {
			deployment.end()
		}
		os.Exit(couldNot)
	})
	environment := &environment{record: &record{file: file, began: time.Now()}, directory: directory, trouble: os.Getenv("TROUBLE") != "0"}
	return cases[os.Args[1]](environment)
}
