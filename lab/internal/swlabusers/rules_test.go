package swlabusers

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/cmd"
	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/platform"
)

// TestEditorAppliesRulesInSimulatedStore creates and changes the rules in the simulated store, whose revisions grow in uneven
// steps, and checks that an edit of an old version is a conflict.
func TestEditorAppliesRulesInSimulatedStore(t *testing.T) {
	store, err := StartStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	client, err := swplatform.New(swplatform.Config{URL: "http://" + store.Address()})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	rules := swedit.NewVersionedStore(platform.NewStore(client, swplatform.NewEraTracker(zerolog.Nop())), swfollow.KindShared, swfollow.PrefixRules)
	editor := swedit.New(swedit.Config{Store: rules})
	apply := func(base uint64, text string) (uint64, error) {
		result, err := editor.Apply(t.Context(), swedit.Request{Base: base, By: "ana", Text: text})
		return result.Version, err
	}
	for version, text := range []string{"pass # one\n", "refuse # two\n", "pass Kind=a # three\n"} {
		got, err := apply(uint64(version), text)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(uint64(version+1), got); diff != "" {
			t.Error("version (-want +got):\n" + diff)
		}
		if err := store.Put("other", "object", text); err != nil {
			t.Fatal(err)
		}
	}
	var conflict *swedit.ConflictError
	if _, err := apply(1, "refuse Kind=b # four\n"); !errors.As(err, &conflict) || conflict.Version != 3 {
		t.Errorf("an edit of version 1 returned %v, want a conflict with version 3", err)
	}
	object, err := rules.Get(t.Context(), swedit.KindRules, swedit.NameMain)
	if err != nil {
		t.Fatal(err)
	}
	document, err := swedit.DecodeDocument(object.Value)
	if err != nil || !strings.Contains(document.Text, "three") || len(document.Edits) != 3 {
		t.Errorf("the rules are %+v, %v; want those of the third edit", document, err)
	}
}

// TestRulesCommandsEditGatewayRules runs the commands that operators use to apply, show and test rules.
func TestRulesCommandsEditGatewayRules(t *testing.T) {
	store, err := StartStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	file := filepath.Join(t.TempDir(), "main.rules")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := cmd.Execute(append(args, "--gateway", "--platform", "http://"+store.Address()), &out, io.Discard)
		return code, out.String()
	}
	apply := func() int {
		code, _ := run("rules", "apply", "--by", "ana", file)
		return code
	}
	write("# Version: 0\nrefuse Host=h # ana\n")
	if code := apply(); code != 0 {
		t.Fatalf("apply returned exit code %d", code)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("# Version: 1\nrefuse Host=h # ana\n", string(text)); diff != "" {
		t.Error("the file after the first edit (-want +got):\n" + diff)
	}
	if _, output := run("rules", "show"); output != string(text) {
		t.Errorf("show prints %q, want the file", output)
	}
	if _, output := run("rules", "test", "--host", "h"); !strings.Contains(output, "line 2: refuse Host=h") {
		t.Errorf("test prints %q, want the rule", output)
	}
	write("# Version: 0\npass # ben\n")
	const conflictExitCode = 3
	if diff := cmp.Diff(conflictExitCode, apply()); diff != "" {
		t.Error("exit code of an edit of an old version (-want +got):\n" + diff)
	}
}

// TestStoreComesBackFromAnOlderCopy checks that the store loses its latest writes alone, gives out their revisions again, and ends watches
// from revisions that it does not have.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	store, err := StartStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	client, err := swplatform.New(swplatform.Config{URL: "http://" + store.Address()})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	objects := platform.NewStore(client, swplatform.NewEraTracker(zerolog.Nop()))
	put := func(name, value string) {
		if err := store.Put("k", name, value); err != nil {
			t.Fatal(err)
		}
	}
	put("kept", "1")
	put("changed", "1")
	put("deleted", "1")
	copiedAt := time.Now()
	put("changed", "2")
	put("created", "1")
	store.Delete("k", "deleted")
	_, before, err := objects.ListObjects(t.Context(), "k")
	if err != nil {
		t.Fatal(err)
	}
	store.RollBack(copiedAt)
	if _, _, err := objects.WatchObjects(t.Context(), "k", before, time.Second); !errors.Is(err, swplatform.ErrRevisionTooOld) {
		t.Errorf("a watch from a lost revision returned %v, want %v", err, swplatform.ErrRevisionTooOld)
	}
	listed, after, err := objects.ListObjects(t.Context(), "k")
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]string)
	for _, object := range listed {
		got[object.Name] = string(object.Value)
	}
	if diff := cmp.Diff(map[string]string{"kept": `"1"`, "changed": `"1"`, "deleted": `"1"`}, got); diff != "" {
		t.Error("objects (-want +got):\n" + diff)
	}
	if diff := cmp.Diff(swplatform.Position{Era: before.Era + 1, Revision: before.Revision - 3}, after); diff != "" {
		t.Error("position (-want +got):\n" + diff)
	}
}
