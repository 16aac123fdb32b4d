package swtable_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

func TestUpdateRemovesTheEntryIfKeepIsFalse(t *testing.T) {
	table := swtable.New[string, int]()
	table.Put("a", 1)
	table.Put("b", 2)
	table.Update("a", func(int, bool) (int, bool) { return 0, false })
	got := map[string]int{}
	table.Range(func(key string, value int) bool {
		got[key] = value
		return true
	})
	if diff := cmp.Diff(map[string]int{"b": 2}, got); diff != "" {
		t.Error(diff)
	}
}
