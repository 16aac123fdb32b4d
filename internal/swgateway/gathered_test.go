package swgateway

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// record returns a record that sorts by its number.
func record(number int) string {
	return fmt.Sprintf("%016d", number)
}

func TestGatheredAnswerHoldsTheGreatestRecordsOfAllShards(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 0)
		defer bench.close()
		route := gathered(3, 1)
		route.TopK = 4
		bench.route(route)
		bench.add("s0", "a", signed(time.Millisecond, "a", record(1)+record(9)+"rest"))
		bench.add("s1", "b", signed(time.Millisecond, "b", record(9)+record(3)))
		bench.add("s2", "c", signed(time.Millisecond, "c", ""))
		got := bench.ask(t.Context(), http.MethodGet, "/x", "")
		if diff := cmp.Diff(record(9)+record(9)+record(3)+record(1), got.Body.String()); diff != "" {
			t.Error("body (-want +got):\n" + diff)
		}
		if diff := cmp.Diff([]string{"a", "b", "c"}, got.Header()["Signatures"]); diff != "" {
			t.Error("signatures (-want +got):\n" + diff)
		}
		if diff := cmp.Diff("0", got.Header().Get("Missing")); diff != "" {
			t.Error("missing (-want +got):\n" + diff)
		}
	})
}

func TestMergeAgreesWithSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := make([][]byte, rapid.IntRange(0, 5).Draw(t, "Parts"))
		var all []string
		for i := range parts {
			parts[i] = rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100).Draw(t, "Part")
			for at := 0; at+recordSize <= len(parts[i]); at += recordSize {
				all = append(all, string(parts[i][at:at+recordSize]))
			}
		}
		most := rapid.IntRange(0, 8).Draw(t, "Most")
		slices.Sort(all)
		slices.Reverse(all)
		want := strings.Join(all[:min(most, len(all))], "")
		if got := mergeRecords(parts, most); !bytes.Equal([]byte(want), got) {
			t.Fatalf("merged %q, want %q", got, want)
		}
	})
}

// TestOneShardThatStandsStillDoesNotMakeTheAnswerLate replays the load in which replicas stand still for 200 ms by turns.
func TestOneShardThatStandsStillDoesNotMakeTheAnswerLate(t *testing.T) {
	for name, test := range map[string]struct {
		budget  float64
		missing string
	}{
		"hedged":           {1, "0"},
		"without a budget": {0, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				bench := newBench(t, test.budget)
				defer bench.close()
				bench.route(gathered(10, 0.89))
				for i := range 10 {
					service := fmt.Sprintf("s%d", i)
					delay := 10 * time.Millisecond
					if i == 4 {
						delay = 200 * time.Millisecond
					}
					first := bench.add(service, fmt.Sprintf("a%d", i), signed(delay, fmt.Sprintf("a%d", i), record(i)))
					second := bench.add(service, fmt.Sprintf("b%d", i), signed(10*time.Millisecond, fmt.Sprintf("b%d", i), record(i)))
					if i == 4 {
						// Both stand still when no second attempt may help; else the one that is chosen first does.
						second.script = func(arrival *arrival) {
							if first.count() == 0 || test.budget == 0 {
								time.Sleep(190 * time.Millisecond)
							}
							signed(10*time.Millisecond, second.id, record(i))(arrival)
						}
						script := first.script
						first.script = func(arrival *arrival) {
							if second.count() > 0 && test.budget > 0 {
								signed(10*time.Millisecond, first.id, record(i))(arrival)
								return
							}
							script(arrival)
						}
					}
				}
				got := bench.ask(t.Context(), http.MethodGet, "/x", "")
				if diff := cmp.Diff(http.StatusOK, got.Code); diff != "" {
					t.Error("status (-want +got):\n" + diff)
				}
				if got.took > 150*time.Millisecond {
					t.Errorf("answered after %s, want within the target of 150ms", got.took)
				}
				if diff := cmp.Diff(test.missing, got.Header().Get("Missing")); diff != "" {
					t.Error("missing (-want +got):\n" + diff)
				}
			})
		})
	}
}

func TestUselessAnswersAreNoParts(t *testing.T) {
	for name, script := range map[string]func(*arrival){
		"failure with a signature": answers(time.Millisecond, http.StatusInternalServerError, "Signature: x\r\n", record(99)),
		"not found":                answers(time.Millisecond, http.StatusNotFound, "Signature: x\r\n", record(99)),
		"no signature":             answers(time.Millisecond, http.StatusOK, "", record(99)),
		"another request's": func(arrival *arrival) {
			_, _ = arrival.conn.Write([]byte("HTTP/1.1 200 OK\r\nId: other\r\nSignature: x\r\nContent-Length: 16\r\n\r\n" + record(99)))
		},
		"cut": func(arrival *arrival) {
			_, _ = arrival.conn.Write([]byte("HTTP/1.1 200 OK\r\nId: " + arrival.Header.Get("Id") + "\r\nSignature: x\r\nContent-Length: 32\r\n\r\n" + record(99)))
			arrival.conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				bench := newBench(t, 1)
				defer bench.close()
				bench.route(gathered(2, 0.5))
				bench.add("s0", "a", signed(time.Millisecond, "a", record(1)))
				bench.add("s1", "b", script)
				got := bench.ask(t.Context(), http.MethodGet, "/x", "")
				if diff := cmp.Diff("200 "+record(1), statusAndBody(got)); diff != "" {
					t.Error("answer (-want +got):\n" + diff)
				}
				if diff := cmp.Diff([]string{"a"}, got.Header()["Signatures"]); diff != "" {
					t.Error("signatures (-want +got):\n" + diff)
				}
				if diff := cmp.Diff("1", got.Header().Get("Missing")); diff != "" {
					t.Error("missing (-want +got):\n" + diff)
				}
			})
		})
	}
}

func TestSearchThatCannotReachItsCoverageIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 0)
		defer bench.close()
		bench.route(gathered(4, 0.75))
		replica := bench.add("s0", "a", signed(time.Millisecond, "a", record(1)))
		bench.add("s1", "b", signed(time.Millisecond, "b", record(1)))
		got := bench.ask(t.Context(), http.MethodGet, "/x", "")
		if diff := cmp.Diff(http.StatusServiceUnavailable, got.Code); diff != "" {
			t.Error("status with two shards of four (-want +got):\n" + diff)
		}
		if got.took != 0 || replica.count() != 0 || got.Header().Get("Retry-After") == "" {
			t.Errorf("refused after %s and %d sendings, come back in %q", got.took, replica.count(), got.Header().Get("Retry-After"))
		}
		bench.add("s2", "c", answers(10*time.Millisecond, http.StatusInternalServerError, "Signature: c\r\n", ""))
		bench.add("s3", "d", answers(20*time.Millisecond, http.StatusInternalServerError, "Signature: d\r\n", ""))
		got = bench.ask(t.Context(), http.MethodGet, "/x", "")
		if diff := cmp.Diff(http.StatusBadGateway, got.Code); diff != "" {
			t.Error("status with two shards that fail (-want +got):\n" + diff)
		}
		if got.took > 50*time.Millisecond {
			t.Errorf("given up after %s, want as soon as the second shard failed", got.took)
		}
	})
}

func TestAttemptsOfAShardKeepToTheRoute(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 1)
		defer bench.close()
		bench.route(gathered(1, 1))
		replicas := make([]*testReplica, 5)
		for i := range replicas {
			replicas[i] = bench.add("s0", fmt.Sprintf("a%d", i), answers(time.Millisecond, http.StatusInternalServerError, "Signature: x\r\n", ""))
		}
		bench.ask(t.Context(), http.MethodGet, "/x", "")
		total := 0
		for _, replica := range replicas {
			total += replica.count()
		}
		if diff := cmp.Diff(2, total); diff != "" {
			t.Error("sendings (-want +got):\n" + diff)
		}
	})
}

// TestBudgetHoldsOverAllVMs replays requests at VMs of uneven load that repeat as much as they are granted, and counts the
// repeats in every window over all of them.
func TestBudgetHoldsOverAllVMs(t *testing.T) {
	for name, restartEvery := range map[string]int{
		"VMs that stay":                     0,
		"VMs that restart in turn, rolling": 130,
		"all VMs restart again and again":   20,
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) { checkBudget(t, restartEvery) })
		})
	}
}

// checkBudget plays the load; one VM restarts, and so forgets what it has spent, each time that so many steps have passed.
func checkBudget(t *testing.T, restartEvery int) {
	t.Helper()
	const (
		vms    = 9
		ratio  = 0.2
		slack  = 58.0
		window = 10 * time.Second
		step   = 10 * time.Millisecond
		steps  = 4000
	)
	random := rand.New(rand.NewPCG(1, 1))
	start := func() *Budget {
		return NewBudget(BudgetConfig{Ratio: ratio, Slack: slack, Window: window, VMs: func() int { return vms }})
	}
	budgets := make([]*Budget, vms)
	for i := range budgets {
		budgets[i] = start()
		time.Sleep(37 * time.Millisecond)
	}
	// Traffic starts after the VMs do.
	time.Sleep(window)
	var requests, repeats [steps]int
	for i := range steps {
		time.Sleep(step)
		if restartEvery > 0 && i > steps/2 && i%restartEvery == 0 {
			budgets[i/restartEvery%vms] = start()
		}
		for vm := range budgets {
			// Load swings between none and much, and differs between VMs.
			if random.IntN(10) > vm || i/500%2 == 1 && random.IntN(5) > 0 {
				continue
			}
			now := time.Now()
			budgets[vm].CountRequest(now, "s")
			requests[i]++
			for random.IntN(3) > 0 && budgets[vm].Take(now, "s", 1) {
				repeats[i]++
			}
		}
	}
	total := 0
	for i := 0; i+int(window/step) <= steps; i++ {
		asked, repeated := 0, 0
		for j := range int(window / step) {
			asked += requests[i+j]
			repeated += repeats[i+j]
		}
		total = max(total, repeated)
		if allowed := ratio*float64(asked) + slack; float64(repeated) > allowed {
			t.Fatalf("%d repeats of %d requests in the window from step %d, want %.0f at most", repeated, asked, i, allowed)
		}
	}
	if total < 100 {
		t.Errorf("at most %d repeats in a window; the budget grants too little to be of use", total)
	}
}
