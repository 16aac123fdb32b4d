package swedit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestHeaderIsSetAndStrippedWithoutLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"", "# Version: 3\n", "# Version: 3\r\n", "#Version:07", "# Version: x\n"}).Draw(t, "First") +
			rapid.StringMatching(`[a#\n]{0,6}`).Draw(t, "Rest")
		version := rapid.Uint64Range(0, 1<<62).Draw(t, "Version")
		set := SetHeader(text, version)
		if got, ok := HeaderVersion(set); !ok || got != version {
			t.Fatalf("version of %q is %d (%t), want %d", set, got, ok, version)
		}
		if StripHeader(set) != StripHeader(text) {
			t.Fatalf("body of %q is %q, want %q", set, StripHeader(set), StripHeader(text))
		}
		if EditID(1, "a", set) != EditID(1, "a", text) {
			t.Fatalf("the version in the first line of %q changes the edit ID", text)
		}
	})
}

func ExampleSetHeader() {
	fmt.Print(SetHeader("# Version: 41\nrefuse # on-call\n", 42))
	// Output:
	// # Version: 42
	// refuse # on-call
}
