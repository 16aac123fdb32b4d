package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabcheck"
)

// execute runs a command and returns its output.
func execute(t *testing.T, arguments ...string) string {
	t.Helper()
	var out bytes.Buffer
	root := newRootCommand()
	root.SetArgs(arguments)
	root.SetOut(&out)
	if err := root.ExecuteContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestDemoReportsEveryCallerAndNoViolation(t *testing.T) {
	text := execute(t, "demo", "--user", "avellana", "--duration", "1s", "--json")
	var report swlabcheck.Report
	if err := json.Unmarshal([]byte(text), &report); err != nil {
		t.Fatal(err)
	}
	callers := make(map[string]bool)
	for _, line := range report.Priorities {
		callers[line.Caller] = true
	}
	want := map[string]bool{"belt-console": true, "calibration-feed": true, "lot-ledger": true, "buyer-report": true}
	if diff := cmp.Diff(want, callers); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(swlabcheck.Violations{}, report.Violations); diff != "" {
		t.Errorf("violations (-want +got):\n%s%v", diff, report.Examples)
	}
	path := filepath.Join(t.TempDir(), "report.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if plot := execute(t, "plot", path); !strings.HasPrefix(plot, "<svg") {
		t.Errorf("plot starts with %.20q", plot)
	}
	if changes := execute(t, "compare", path, path); strings.Count(changes, "\n") != 1 {
		t.Errorf("compare printed differences between a report and itself: %s", changes)
	}
}

func TestUnknownNamesAreErrors(t *testing.T) {
	for _, arguments := range [][]string{{"run", "no-such-scenario"}, {"demo", "--user", "nobody"}} {
		root := newRootCommand()
		root.SetArgs(arguments)
		root.SetOut(&bytes.Buffer{})
		if err := root.ExecuteContext(t.Context()); err == nil {
			t.Errorf("%v succeeded, want an error", arguments)
		}
	}
}
