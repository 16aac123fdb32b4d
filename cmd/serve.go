package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swapp"
	"github.com/sycamorewall/sycamorewall/internal/swlog"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/platform"
)

// stopMargin is the time allowed for a graceful stop in addition to the waits in the settings.
const stopMargin = 10 * time.Second

// serveCommand runs the process of one VM until it receives SIGTERM or SIGINT.
type serveCommand struct {
	command      *cobra.Command
	settingsPath string
}

func newServeCommand() *cobra.Command {
	serve := &serveCommand{}
	serve.command = &cobra.Command{
		Use:   "serve [--settings FILE]",
		Short: "Serve callers and peers until SIGTERM or SIGINT, then stop gracefully",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve.run(command.Context(), command.OutOrStdout())
		},
	}
	serve.command.Flags().StringVar(&serve.settingsPath, "settings", os.Getenv(platform.SettingsVariable),
		"settings file; $"+platform.SettingsVariable+" is the default")
	return serve.command
}

// reloader is a program that can apply changed settings while it runs.
type reloader interface {
	Reload(settings swsetting.Settings)
}

// reloadOnHangup reloads the settings at each SIGHUP until the context ends. Invalid settings are reported and not applied.
func (serve *serveCommand) reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, app program) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		settings, err := swsetting.Load(serve.settingsPath)
		if err != nil {
			serve.command.PrintErrln("sycamorewall: settings not reloaded: " + err.Error())
			continue
		}
		if reloadable, ok := app.(reloader); ok {
			reloadable.Reload(settings)
		}
	}
}

// program is the search API or the gateway.
type program interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

func newProgram(settings swsetting.Settings, logOut io.Writer) (program, error) {
	config := swapp.Config{Settings: settings, LogOut: logOut, Version: version()}
	if settings.Gateway.Enabled() {
		return swapp.NewGateway(config)
	}
	return swapp.New(config)
}

// heapFraction is the fraction of the process's memory below which the garbage collector keeps the heap, by running as often as it takes. The
// rest is for the program itself and for the heap's overshoot.
const heapFraction = 0.65

// limitMemory makes the garbage collector work harder as the process nears the memory that its VM gives to it. Without this, the heap may grow
// to twice what is in use, whatever the VM has.
func limitMemory(settings swsetting.Settings) {
	if settings.Gateway.Enabled() {
		debug.SetMemoryLimit(settings.Gateway.MemoryBytes(heapFraction))
	}
}

func (serve *serveCommand) run(ctx context.Context, logOut io.Writer) error {
	// This comes first because a SIGHUP that arrives before Notify ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if serve.settingsPath == "" {
		return errors.Errorf("no settings file: give --settings or set %s", platform.SettingsVariable)
	}
	settings, err := swsetting.Load(serve.settingsPath)
	if err != nil {
		return err
	}
	limitMemory(settings)
	asyncLogOut := swlog.NewNonBlockingWriter(logOut)
	defer asyncLogOut.Close()
	app, err := newProgram(settings, asyncLogOut)
	if err != nil {
		return err
	}
	untilSignal, stopSignals := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	if err := app.Start(untilSignal); err != nil {
		return err
	}
	serve.reloadOnHangup(untilSignal, hangups, app)
	// The search API drains twice: first the callers' requests, then the batches from peers.
	stopTimeout := max(settings.Stop.BalancerWait+2*settings.Stop.DrainTimeout, settings.Gateway.Grace) + stopMargin
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.Wrap(app.Stop(stopCtx), "stop gracefully")
}
