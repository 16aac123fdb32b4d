package swquery

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no test leaks a goroutine.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
