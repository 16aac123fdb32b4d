// Package swapp wires one VM of the system from its settings, starts its parts in order and stops them gracefully.
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
	// LogOut receives JSON lines.
	LogOut io.Writer
	// Version is the program's version, shown in status.
	Version string
}

// App is one VM's process. Construct it with New.
type App struct {
	parts *parts
	fx    *fx.App
}

// New builds every part and opens the listeners, so that their addresses are known. Nothing is served before Start.
func New(config Config) (*App, error) {
	app := &App{}
	app.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(config),
		fx.Provide(
			newLogger, newGroup, newRecorder, newRegistry, newPeerNode,
			newBoard, newDirectory, newStore, newPlatform, newWatcher,
			newRuleBook, newPool, newGate, newLimiter, newQuarantine,
			newEngine, newKeyService, newRunService, newLifeState, newServer,
		),
		fx.Invoke(bindShare, bindHandlers, bindDocuments, bindRecords, bindReplacedPeers, bindLifecycle),
		fx.Invoke(func(parts parts) { app.parts = &parts }),
	)
	if err := app.fx.Err(); err != nil {
		return nil, errors.Wrap(dig.RootCause(err), "build the VM's parts")
	}
	return app, nil
}

// Start begins serving. The VM is ready once it has rules and a catalogue.
func (app *App) Start(ctx context.Context) error {
	return errors.Wrap(app.fx.Start(ctx), "start")
}

// Stop stops gracefully: no request is cut, as long as the context lasts.
func (app *App) Stop(ctx context.Context) error {
	return errors.Wrap(app.fx.Stop(ctx), "stop")
}

// Kill ends every part at once, as a failure of the VM would.
func (app *App) Kill() {
	app.parts.kill()
}

// CallerAddress returns the TCP address for callers.
func (app *App) CallerAddress() netip.AddrPort {
	return app.parts.Server.Address()
}

// PeerAddress returns the UDP address for other VMs.
func (app *App) PeerAddress() netip.AddrPort {
	return app.parts.Node.Address()
}

// Ready returns nil when the VM serves, or the reason why not.
func (app *App) CheckReady() error {
	return app.parts.Life.Ready()
}
