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

// errCannotPause says that a process shares its life with the lab.
var errCannotPause = errors.New("the process cannot be paused by itself")

// child is a VM's program as a process of its own.
type childProcess struct {
	command *exec.Cmd
	group   *swgroup.Group
	exited  chan struct{}
	exitErr error
}

// LaunchBinary returns a launcher that starts a binary of sycamorewall, whose log goes to a file beside its settings.
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

// Stop asks the process to end and waits until it did.
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

// Kill ends the process at once.
func (childProcess *childProcess) Kill() {
	_ = childProcess.command.Process.Kill()
	<-childProcess.exited
}

// Pause stops the process from running, or lets it run on.
func (childProcess *childProcess) SetPaused(paused bool) error {
	signal := syscall.SIGCONT
	if paused {
		signal = syscall.SIGSTOP
	}
	return errors.Wrap(childProcess.command.Process.Signal(signal), "signal")
}
