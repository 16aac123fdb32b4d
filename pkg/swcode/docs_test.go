package swcode

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	resultCodesPage = "../../docs/RESULT-CODES.md"
	tableHeader     = "| code | name | HTTP status | Ran | retry | meaning | what to do |\n| --- | --- | --- | --- | --- | --- | --- |\n"
)

var update = flag.Bool("update", false, "write the table of result codes into docs/RESULT-CODES.md")

func resultCodesTable() string {
	var table strings.Builder
	table.WriteString(tableHeader)
	for _, entry := range Entries() {
		ran := make([]string, len(entry.Ran))
		for i := range entry.Ran {
			ran[i] = entry.Ran[i].String()
		}
		retry := "no"
		if entry.Retry {
			retry = "yes"
		}
		fmt.Fprintf(&table, "| %d | `%s` | %d | %s | %s | %s | %s |\n",
			entry.Code, entry.Name, entry.Status, strings.Join(ran, ", "), retry, entry.Meaning, entry.Advice)
	}
	return table.String()
}

func TestDocsListResultCodes(t *testing.T) {
	page, err := os.ReadFile(resultCodesPage)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(page), tableHeader)
	if !found {
		t.Fatal("the page has no table of result codes")
	}
	rows, after, _ := strings.Cut(rest, "\n\n")
	table := tableHeader + strings.TrimSuffix(rows, "\n") + "\n"
	if *update {
		text := strings.TrimRight(before+resultCodesTable()+"\n"+after, "\n") + "\n"
		if err := os.WriteFile(resultCodesPage, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(resultCodesTable(), table); diff != "" {
		t.Error("table (-code +docs), run go test ./pkg/swcode -update:\n" + diff)
	}
}

func TestEntriesAreOrderedAndComplete(t *testing.T) {
	last := Code(0)
	for _, entry := range Entries() {
		if entry.Code <= last {
			t.Errorf("code %d follows %d", entry.Code, last)
		}
		last = entry.Code
		if entry.Name == "" || entry.Status < 200 || len(entry.Ran) == 0 || entry.Meaning == "" || entry.Advice == "" {
			t.Errorf("entry of code %d is incomplete: %+v", entry.Code, entry)
		}
		if got := Describe(entry.Code).Name; got != entry.Name {
			t.Errorf("code %d is described as %s, want %s", entry.Code, got, entry.Name)
		}
	}
}

func TestRequestAndPolicyRefusalsNeverRan(t *testing.T) {
	for _, entry := range Entries() {
		if entry.Code < 200 || entry.Code >= 400 {
			continue
		}
		if diff := cmp.Diff([]Ran{RanNo}, entry.Ran); diff != "" {
			t.Errorf("%s (-want +got):\n%s", entry.Name, diff)
		}
	}
}
