// Command lab runs fleets of stand-ins and VMs: a demonstration, and scenarios of faults with checks of every promise.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	root := newRootCommand()
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab: "+err.Error())
		os.Exit(1)
	}
}
