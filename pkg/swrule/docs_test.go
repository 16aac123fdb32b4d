package swrule

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const rulesPage = "../../docs/rules.md"

func readPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(rulesPage)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

func TestDocsExamplesParseAndAreCanonical(t *testing.T) {
	blocks := regexp.MustCompile("(?s)```rules\n(.*?)```").FindAllStringSubmatch(readPage(t), -1)
	if len(blocks) == 0 {
		t.Fatal("the page has no example")
	}
	for _, block := range blocks {
		if diff := cmp.Diff(mustParse(t, block[1]).Format(), block[1]); diff != "" {
			t.Error("example (-canonical +docs):\n" + diff)
		}
	}
}

func TestDocsListKeysInOrder(t *testing.T) {
	_, table, _ := strings.Cut(readPage(t), "## Keys")
	var got []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([A-Za-z]+)` \\|").FindAllStringSubmatch(table, -1) {
		got = append(got, row[1])
	}
	if diff := cmp.Diff(keyNames(), got); diff != "" {
		t.Error("keys (-code +docs):\n" + diff)
	}
}

func TestDocsListActions(t *testing.T) {
	_, table, _ := strings.Cut(readPage(t), "## Actions")
	table, _, _ = strings.Cut(table, "## Keys")
	var got []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z]+)` \\|").FindAllStringSubmatch(table, -1) {
		got = append(got, row[1])
	}
	if diff := cmp.Diff(actionNames[:], got); diff != "" {
		t.Error("actions (-code +docs):\n" + diff)
	}
}
