package swmember_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

// TestFirstRankedIsAPrefixOfRank checks that a selection of the first members equals the start of the complete order.
func TestFirstRankedIsAPrefixOfRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]swmember.Member, rapid.IntRange(1, 20).Draw(t, "members"))
		for i := range members {
			members[i] = swmember.Member{Name: fmt.Sprintf("vm-%d", i), State: swmember.State(rapid.IntRange(0, 2).Draw(t, "state"))}
		}
		key := rapid.String().Draw(t, "key")
		count := rapid.IntRange(0, len(members)).Draw(t, "count")
		all := swmember.Rank(members, key)
		if diff := cmp.Diff(len(members), len(all)); diff != "" {
			t.Fatal(diff)
		}
		if diff := cmp.Diff(names(all[:count]), names(swmember.FirstRanked(members, key, count))); diff != "" {
			t.Fatal(diff)
		}
		for i := 1; i < len(all); i++ {
			if all[i-1].State != swmember.Alive && all[i].State == swmember.Alive {
				t.Fatal("a member that accepts no new work comes before one that does")
			}
		}
	})
}

// TestRemovalOfAMemberMovesOnlyItsKeys checks that they move to their second owners, and that keys are distributed evenly.
func TestRemovalOfAMemberMovesOnlyItsKeys(t *testing.T) {
	const keys = 9000
	members := make([]swmember.Member, 9)
	for i := range members {
		members[i].Name = fmt.Sprintf("vm-%d", i)
	}
	owned := make(map[string]int)
	for i := range keys {
		key := fmt.Sprintf("server-%d", i)
		before := swmember.FirstRanked(members, key, 2)
		owned[before[0].Name]++
		after := swmember.FirstRanked(members[1:], key, 1)[0].Name
		want := before[0].Name
		if want == "vm-0" {
			want = before[1].Name
		}
		if diff := cmp.Diff(want, after); diff != "" {
			t.Fatal(diff)
		}
	}
	const fair = keys / 9
	for name, count := range owned {
		if count < fair*8/10 || count > fair*12/10 {
			t.Errorf("%s owns %d keys; a fair share is %d", name, count, fair)
		}
	}
}

func names(members []swmember.Member) []string {
	list := make([]string, len(members))
	for i := range members {
		list[i] = members[i].Name
	}
	return list
}
