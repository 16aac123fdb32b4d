package swlabfleet

import (
	"context"
	"io"

	"github.com/sycamorewall/sycamorewall/internal/swapp"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// app is a VM's program inside the lab's own process.
type inProcess struct {
	*swapp.App
}

// LaunchInProcess returns a launcher that runs VMs inside this process; their logs go to logOut.
func LaunchInProcess(logOut io.Writer) Launcher {
	return func(ctx context.Context, settings swsetting.Settings) (Process, error) {
		made, err := swapp.New(swapp.Config{Settings: settings, LogOut: logOut, Version: "lab"})
		if err != nil {
			return nil, err
		}
		if err := made.Start(ctx); err != nil {
			return nil, err
		}
		return inProcess{made}, nil
	}
}

// Pause cannot stop a part of a process; the fleet holds the VM's traffic in its place.
func (inProcess) SetPaused(bool) error {
	return errCannotPause
}
