package cmd

import (
	"bytes"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swapp"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/internal/swrollout"
)

func TestStatusTableMatchesGoldenFile(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	report := &swapp.Status{
		Name: "auckland-1", Version: "0.1", Region: "north", DataCentre: "auckland", Started: now.Add(-time.Hour),
		Reason: "no rules are in force on this VM yet", RuleVersion: 41, Draining: []string{"ledger-3", "ledger-4"},
		Documents: []swrollout.DocumentStatus{
			{Kind: "Catalogue", Name: "ledger", Version: 7, Since: now.Add(-time.Minute), Announced: 8},
			{Kind: "Rules", Name: "main", Version: 41, Since: now.Add(-time.Minute), Announced: 42, Rejected: &swrollout.Rejection{Version: 42, Reason: "line 1, column 1: no action"}},
			{Kind: "Servers", Name: "auckland"},
		},
		Contacts: map[string]time.Time{"wellington": now.Add(-2 * time.Second), "christchurch": now.Add(-time.Hour)},
		Members:  []swapp.MemberStatus{{Name: "auckland-1", DataCentre: "auckland", State: "Alive", Caller: "127.0.0.1:8080"}},
		Servers: []swbackend.ServerStatus{
			{Name: "ledger-1", Slots: 3, Limit: 2, Running: 2, Waiting: 5, Connections: 4, Service: 21 * time.Millisecond, Shedding: true},
			{Name: "ledger-3", Slots: 3, Limit: 3, Connections: 1, Service: 20 * time.Millisecond, Leaving: true},
		},
		Quarantine: []swquarantine.Suspect{
			{Fingerprint: "00ff00ff00ff00ff", Quarantined: true, Deaths: 2, Score: 1.96, Since: 90 * time.Second, Trials: 1},
			{Fingerprint: "11ff00ff00ff00ff", Deaths: 1, Score: 0.5, Since: time.Second},
		},
	}
	var got bytes.Buffer
	writer := tabwriter.NewWriter(&got, 0, 0, columnPadding, ' ', 0)
	printStatus(writer, report, now)
	if err := writer.Flush(); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/status.txt")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Error("table (-want +got):\n" + diff)
	}
}
