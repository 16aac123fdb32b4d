// Package swlabbuild builds the sycamorewall binary that the lab runs as processes.
package swlabbuild

import (
	"context"
	"os"
	"os/exec"

	"github.com/pkg/errors"
)

// Build builds sycamorewall from this module into the file at path.
func Build(ctx context.Context, path string) error {
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "github.com/sycamorewall/sycamorewall")
	build.Stderr = os.Stderr
	return errors.Wrap(build.Run(), "build sycamorewall")
}
