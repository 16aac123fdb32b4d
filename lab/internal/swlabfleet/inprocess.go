package swlabfleet

import (
	"context"
	"io"

	"github.com/sycamorewall/sycamorewall/internal/swapp"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// inProcess is a VM's program that runs within the lab's own process.
type inProcess struct {
	*swapp.App
}

// LaunchInProcess returns a Launcher that runs VMs within this process. Their logs go to logOut.
func LaunchInProcess(logOut io.Writer) Launcher {
	return func(ctx context.Context, settings swsetting.Settings) (Process, error) {
		app, err := swapp.New(swapp.Config{Settings: settings, LogOut: logOut, Version: "lab"})
		if err != nil {
			return nil, err
		}
		if err := app.Start(ctx); err != nil {
			return nil, err
		}
		return inProcess{app}, nil
	}
}

// SetPaused returns errCannotPause: one part of a process cannot be suspended. The fleet then holds the VM's traffic back
// instead.
func (inProcess) SetPaused(bool) error {
	return errCannotPause
}
