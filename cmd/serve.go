package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swapp"
	"github.com/sycamorewall/sycamorewall/internal/swlog"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// stopReserve is the time given to a graceful stop beyond what the settings name.
const stopReserve = 10 * time.Second

// settingsVariable names the environment variable that holds the path of the settings file.
const settingsVariable = "SYCAMOREWALL_SETTINGS"

// serveCommand runs one VM's process until it is told to stop.
type serveCommand struct {
	command  *cobra.Command
	settings string
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
	serve.command.Flags().StringVar(&serve.settings, "settings", os.Getenv(settingsVariable),
		"settings file; the default is what the environment variable "+settingsVariable+" names")
	return serve.command
}

// reloader is a program that takes changed settings while it runs.
type reloader interface {
	Reload(settings swsetting.Settings)
}

// reloadUntil reads the settings again at each SIGHUP, until the context ends. Settings that are not valid change nothing.
func (serve *serveCommand) reloadUntil(ctx context.Context, hangups <-chan os.Signal, app program) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		settings, err := swsetting.Load(serve.settings)
		if err != nil {
			serve.command.PrintErrln("sycamorewall: the settings stay as they are: " + err.Error())
			continue
		}
		if reloading, ok := app.(reloader); ok {
			reloading.Reload(settings)
		}
	}
}

// program is what serve runs: the search API or the gateway.
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

func (serve *serveCommand) run(ctx context.Context, logOut io.Writer) error {
	// Before anything else: a SIGHUP that comes while the program starts would end it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if serve.settings == "" {
		return errors.Errorf("no settings file: give --settings or set %s", settingsVariable)
	}
	settings, err := swsetting.Load(serve.settings)
	if err != nil {
		return err
	}
	lines := swlog.NewNonBlockingWriter(logOut)
	defer lines.Close()
	app, err := newProgram(settings, lines)
	if err != nil {
		return err
	}
	signalled, stopSignals := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	if err := app.Start(signalled); err != nil {
		return err
	}
	serve.reloadUntil(signalled, hangups, app)
	limit := settings.Stop.BalancerWait + 2*settings.Stop.DrainTimeout + stopReserve
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	return errors.Wrap(app.Stop(stopping), "stop gracefully")
}
