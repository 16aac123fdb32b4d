// Command _stand runs one case of the review: it starts the project's gateway as separate processes with the settings of
// deploy/settings.yaml, stand-ins for the platform's store, the replicas and the clients on loopback addresses, and checks one rule
// from what the clients and the replicas have seen. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	_ "embed"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

//go:embed wire.json
var wireJSON []byte

// wire holds the platform's names of headers and of a field of replicas' entries.
var wire struct {
	RequestID, Deadline, Target, Stamp, NotRun, Instance, WarmUp string
}

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// options are the parameters of a case.
type options struct {
	root, directory, record string
	trouble                 bool
}

// cases holds the function of each case by its name. It returns the violations of the rule.
var cases = map[string]func(run *run) ([]string, error){
	"late-rejection":  lateRejection,
	"stray-rejection": strayRejection,
	"half-close":      halfClose,
}

func main() {
	var options options
	name := flag.String("case", "", "name of the case")
	flag.StringVar(&options.root, "root", ".", "root of the repository, where the gateway is built in target/")
	flag.StringVar(&options.directory, "directory", "", "temporary folder for settings and logs")
	flag.StringVar(&options.record, "record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	options.trouble = os.Getenv("TROUBLE") != "0"
	os.Exit(play(*name, options))
}

func play(name string, options options) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitCouldNot
	}
	if err := json.Unmarshal(wireJSON, &wire); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	startedAt := time.Now()
	run := newRun(options)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	run.goroutine(func() {
		select {
		case <-signals:
			run.close()
			os.Exit(exitCouldNot)
		case <-run.ctx.Done():
		}
	})
	violations, err := play(run)
	run.close()
	if writeErr := run.journal.write(options.record, violations); err == nil {
		err = writeErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCouldNot
	}
	fmt.Printf("case %s, trouble %t, took %s: %s\n", name, options.trouble, time.Since(startedAt).Round(time.Second), run.journal.summary())
	for i, violation := range violations {
		if i < 10 {
			fmt.Println("BROKEN", violation)
		}
	}
	if len(violations) > 0 {
		fmt.Printf("the rule was broken %d times\n", len(violations))
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
