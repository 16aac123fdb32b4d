package swquery

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no test leaves a goroutine behind.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
