package cmd

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDocsListRulesExitCodes(t *testing.T) {
	page, err := os.ReadFile("../docs/operate/rules.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(page), "## Exit codes")
	var got []int
	for _, row := range regexp.MustCompile(`(?m)^\| ([0-9]+) \|`).FindAllStringSubmatch(table, -1) {
		code, err := strconv.Atoi(row[1])
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, code)
	}
	want := []int{exitOK, exitFailed, exitProblems, exitRace, exitUnknown, exitUnavailable, exitNotInForce, exitDifferent}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("exit codes (-code +docs):\n" + diff)
	}
}
