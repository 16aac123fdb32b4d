// Command lab runs fleets of VMs with simulated backend servers, platform and clients. It has a demonstration, scenarios of faults
// and a soak test under random faults, which check every guarantee of the system.
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
