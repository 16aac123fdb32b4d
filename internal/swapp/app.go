// Package swapp builds the process of one VM from its settings: App serves the search API, Gateway forwards HTTP requests to the
// users' backend servers. Both start their components in order and stop them gracefully.
package swapp

import (
	"context"
	"io"
	"net/netip"

	"github.com/pkg/errors"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// Config holds what an App is built from.
type Config struct {
	Settings swsetting.Settings
	// LogOut receives the log as JSON lines.
	LogOut io.Writer
	// Version is the program's version, shown in status.
	Version string
}

// App is the process of a VM that serves the search API. Construct it with New.
type App struct {
	components *components
	fx         *fx.App
}

// New builds every component and opens the listeners, so that their addresses are known. Requests are served after Start.
func New(config Config) (*App, error) {
	app := &App{}
	app.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(config),
		fx.Provide(
			newLogger, newGroup, newRecorder, newClientGuard, newIndexRegistry, newPeerNode,
			newRecordStore, newDirectory, newRolloutStore, newPlatformClient, newWatcher,
			newActiveRules, newPool, newGate, newLimiter, newQuarantine,
			newEngine, newKeyService, newRunService, newVMState, newCallerServer,
		),
		fx.Invoke(bindServerShare, bindHandlers, bindDocuments, bindRecords, bindReplacedPeers, bindLifecycle),
		fx.Invoke(func(components components) { app.components = &components }),
	)
	if err := app.fx.Err(); err != nil {
		return nil, errors.Wrap(dig.RootCause(err), "build the VM's components")
	}
	return app, nil
}

// Start begins serving. The VM is ready once it has rules, a catalogue and backend servers.
func (app *App) Start(ctx context.Context) error {
	return errors.Wrap(app.fx.Start(ctx), "start")
}

// Stop stops gracefully. It waits for requests in flight until the context ends.
func (app *App) Stop(ctx context.Context) error {
	return errors.Wrap(app.fx.Stop(ctx), "stop")
}

// Kill closes every component without a graceful stop, to simulate a crash of the VM.
func (app *App) Kill() {
	app.components.kill()
}

// CallerAddress returns the TCP address for callers.
func (app *App) CallerAddress() netip.AddrPort {
	return app.components.Server.Address()
}

// PeerAddress returns the UDP address for other VMs.
func (app *App) PeerAddress() netip.AddrPort {
	return app.components.Node.Address()
}

// CheckReady returns nil if the VM is ready, or the reason why it is not.
func (app *App) CheckReady() error {
	return app.components.State.CheckReady()
}
