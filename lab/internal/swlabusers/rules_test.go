package swlabusers

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/cmd"
	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/platform"
)

// TestOperatorsEditTheGatewaysRules makes, changes and races edits of the rules at the stand-in of the users' store, whose
// revisions grow in uneven steps.
func TestOperatorsEditTheGatewaysRules(t *testing.T) {
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
	rules := swedit.NewVersionedStore(platform.NewStore(client), swfollow.KindShared, swfollow.PrefixRules)
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
	var race *swedit.ConflictError
	if _, err := apply(1, "refuse Kind=b # four\n"); !errors.As(err, &race) || race.Version != 3 {
		t.Errorf("an edit of version 1 ended with %v, want a race with version 3", err)
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

// TestCommandsEditTheGatewaysRules takes the round that operators take, with their commands.
func TestCommandsEditTheGatewaysRules(t *testing.T) {
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
		t.Fatalf("apply ended with %d", code)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("# Version: 1\nrefuse Host=h # ana\n", string(text)); diff != "" {
		t.Error("the file after the first edit (-want +got):\n" + diff)
	}
	if _, shown := run("rules", "show"); shown != string(text) {
		t.Errorf("show prints %q, want the file", shown)
	}
	if _, met := run("rules", "test", "--host", "h"); !strings.Contains(met, "line 2: refuse Host=h") {
		t.Errorf("test prints %q, want the rule", met)
	}
	write("# Version: 0\npass # ben\n")
	const race = 3
	if diff := cmp.Diff(race, apply()); diff != "" {
		t.Error("exit code of an edit of an old version (-want +got):\n" + diff)
	}
}
