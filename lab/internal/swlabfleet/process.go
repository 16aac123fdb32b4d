package swlabfleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// errCannotPause is returned for a program that runs within the lab's own process.
var errCannotPause = errors.New("a VM within the lab's process cannot be paused")

// childProcess is a VM's program that runs as a process of its own.
type childProcess struct {
	command *exec.Cmd
	group   *swgroup.Group
	exited  chan struct{}
	exitErr error
}

// LaunchBinary returns a Launcher that starts a binary of sycamorewall for each VM. It writes the settings and the log of
// each VM to files in the directory.
func LaunchBinary(binary, directory string) Launcher {
	return func(_ context.Context, settings swsetting.Settings) (Process, error) {
		data, err := yaml.Marshal(settings)
		if err != nil {
			return nil, errors.Wrap(err, "encode settings")
		}
		path := filepath.Join(directory, settings.Name+".yaml")
		if err := os.WriteFile(path, data, privateFileMode); err != nil {
			return nil, errors.Wrap(err, "write settings")
		}
		log, err := os.OpenFile(filepath.Join(directory, settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, privateFileMode)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		defer func() { _ = log.Close() }()
		command := exec.Command(binary, "serve", "--settings", path)
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			return nil, errors.Wrapf(err, "start %s", binary)
		}
		started := &childProcess{command: command, group: swgroup.New(context.Background()), exited: make(chan struct{})}
		started.group.Go(func(context.Context) {
			started.exitErr = command.Wait()
			close(started.exited)
		})
		return started, nil
	}
}

// Stop sends SIGTERM and waits until the process has exited. It kills the process when the context ends first.
func (childProcess *childProcess) Stop(ctx context.Context) error {
	if err := childProcess.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrap(err, "signal")
	}
	select {
	case <-childProcess.exited:
		return childProcess.exitErr
	case <-ctx.Done():
		childProcess.Kill()
		return errors.Wrap(ctx.Err(), "graceful stop")
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (childProcess *childProcess) Kill() {
	_ = childProcess.command.Process.Kill()
	<-childProcess.exited
}

// SetPaused suspends the process with SIGSTOP, or resumes it with SIGCONT.
func (childProcess *childProcess) SetPaused(paused bool) error {
	signal := syscall.SIGCONT
	if paused {
		signal = syscall.SIGSTOP
	}
	return errors.Wrap(childProcess.command.Process.Signal(signal), "signal")
}
