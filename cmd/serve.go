package cmd

import (
	"context"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swapp"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// stopReserve is the time given to a graceful stop beyond what the settings name.
const stopReserve = 10 * time.Second

// serveCommand runs one VM's process until it is told to stop.
type serveCommand struct {
	command  *cobra.Command
	settings string
}

func newServeCommand() *cobra.Command {
	serve := &serveCommand{}
	serve.command = &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Serve callers and peers until SIGTERM or SIGINT, then stop gracefully",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve.run(command.Context(), command.ErrOrStderr())
		},
	}
	serve.command.Flags().StringVar(&serve.settings, "settings", "", "settings file (required)")
	if err := serve.command.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	return serve.command
}

func (serve *serveCommand) run(ctx context.Context, logOut io.Writer) error {
	settings, err := swsetting.Load(serve.settings)
	if err != nil {
		return err
	}
	app, err := swapp.New(swapp.Config{Settings: settings, LogOut: logOut, Version: version()})
	if err != nil {
		return err
	}
	signalled, stopSignals := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	if err := app.Start(signalled); err != nil {
		return err
	}
	<-signalled.Done()
	limit := settings.Stop.BalancerWait + 2*settings.Stop.DrainTimeout + stopReserve
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	return errors.Wrap(app.Stop(stopping), "stop gracefully")
}
