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
type child struct {
	command *exec.Cmd
	group   *swgroup.Group
	ended   chan struct{}
	err     error
}

// LaunchBinary returns a launcher that starts a binary of sycamorewall, whose log goes to a file beside its settings.
func LaunchBinary(binary, directory string) Launcher {
	return func(_ context.Context, settings swsetting.Settings) (Process, error) {
		data, err := yaml.Marshal(settings)
		if err != nil {
			return nil, errors.Wrap(err, "encode settings")
		}
		path := filepath.Join(directory, settings.Name+".yaml")
		if err := os.WriteFile(path, data, privateMode); err != nil {
			return nil, errors.Wrap(err, "write settings")
		}
		log, err := os.OpenFile(filepath.Join(directory, settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, privateMode)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		defer func() { _ = log.Close() }()
		command := exec.Command(binary, "serve", "--settings", path)
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			return nil, errors.Wrapf(err, "start %s", binary)
		}
		started := &child{command: command, group: swgroup.New(context.Background()), ended: make(chan struct{})}
		started.group.Go(func(context.Context) {
			started.err = command.Wait()
			close(started.ended)
		})
		return started, nil
	}
}

// Stop asks the process to end and waits until it did.
func (child *child) Stop(ctx context.Context) error {
	if err := child.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrap(err, "signal")
	}
	select {
	case <-child.ended:
		return child.err
	case <-ctx.Done():
		child.Kill()
		return errors.Wrap(ctx.Err(), "graceful stop")
	}
}

// Kill ends the process at once.
func (child *child) Kill() {
	_ = child.command.Process.Kill()
	<-child.ended
}

// Pause stops the process from running, or lets it run on.
func (child *child) SetPaused(paused bool) error {
	signal := syscall.SIGCONT
	if paused {
		signal = syscall.SIGSTOP
	}
	return errors.Wrap(child.command.Process.Signal(signal), "signal")
}
