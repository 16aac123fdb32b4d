package swkey

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const testTimeout = 2 * time.Second

// codeAndRan is the part of an outcome that tests compare.
type codeAndRan struct {
	Code swcode.Code
	Ran  swcode.Ran
}

func codeAndRanOf(outcome Outcome) codeAndRan {
	return codeAndRan{Code: outcome.Code, Ran: outcome.Ran}
}

func check(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

var ranOK = codeAndRan{Code: swcode.OK, Ran: swcode.RanYes}

func TestResendGetsRecordedOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b", "c")
		key := network.key(network.vms["a"])
		for _, name := range []string{"b", "a", "c", "b"} {
			outcome := network.send(network.vms[name], key, "match", testTimeout)
			check(t, "outcome through "+name, Outcome{Code: swcode.OK, Ran: swcode.RanYes, Reply: []byte("ran match")}, outcome)
		}
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestConcurrentResendsThroughSeveralVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b", "c")
		network.backend.runTime = 100 * time.Millisecond
		key := network.key(network.vms["a"])
		outcomes := make(chan Outcome, 3)
		for _, name := range []string{"a", "b", "c"} {
			network.group.Go(func(context.Context) { outcomes <- network.send(network.vms[name], key, "match", testTimeout) })
		}
		for range cap(outcomes) {
			check(t, "outcome", ranOK, codeAndRanOf(<-outcomes))
		}
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestConcurrentRepeatEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		network.backend.runTime = time.Second
		key := network.key(network.vms["a"])
		network.group.Go(func(context.Context) { network.send(network.vms["a"], key, "match", testTimeout) })
		synctest.Wait()
		outcome := network.send(network.vms["a"], key, "match", 100*time.Millisecond)
		check(t, "early repeat", codeAndRan{Code: swcode.RunInProgress, Ran: swcode.RanUnknown}, codeAndRanOf(outcome))
		check(t, "late repeat", ranOK, codeAndRanOf(network.send(network.vms["b"], key, "match", testTimeout)))
	})
}

func TestRefusedKeysDoNotRun(t *testing.T) {
	alter := func(key string) string {
		return key[:len(key)-4] + strings.Map(func(char rune) rune {
			if char == 'A' {
				return 'B'
			}
			return 'A'
		}, key[len(key)-4:])
	}
	forged := Token{Issuer: Issuer{Name: "a"}, Sequence: 1, Expires: time.Hour}
	tests := []struct {
		name string
		key  func(vm *fakeVM, key string) string
		want codeAndRan
	}{
		{"altered", func(_ *fakeVM, key string) string { return alter(key) }, codeAndRan{Code: swcode.KeyInvalid, Ran: swcode.RanNo}},
		{"truncated", func(_ *fakeVM, key string) string { return key[:12] }, codeAndRan{Code: swcode.KeyInvalid, Ran: swcode.RanNo}},
		{"empty", func(*fakeVM, string) string { return "" }, codeAndRan{Code: swcode.KeyInvalid, Ran: swcode.RanNo}},
		{"too long", func(*fakeVM, string) string { return strings.Repeat("k", MaxKeySize+1) }, codeAndRan{Code: swcode.KeyInvalid, Ran: swcode.RanNo}},
		{"forged", func(vm *fakeVM, _ string) string {
			forged.Issuer = vm.service.self
			return forged.Encode(newSecret())
		}, codeAndRan{Code: swcode.KeyInvalid, Ran: swcode.RanNo}},
		{"expired", func(_ *fakeVM, key string) string {
			time.Sleep(defaultLifetime)
			return key
		}, codeAndRan{Code: swcode.KeyExpired, Ran: swcode.RanNo}},
		{"expired long ago", func(_ *fakeVM, key string) string {
			time.Sleep(defaultLifetime + defaultRetention)
			return key
		}, codeAndRan{Code: swcode.KeyExpired, Ran: swcode.RanUnknown}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newFakeNetwork(t, "a", "b")
				vm := network.vms["a"]
				key := test.key(vm, network.key(vm))
				check(t, "at the issuer", test.want, codeAndRanOf(network.send(vm, key, "match", testTimeout)))
				check(t, "elsewhere", test.want, codeAndRanOf(network.send(network.vms["b"], key, "match", testTimeout)))
				check(t, "runs", 0, network.backend.count("match"))
			})
		})
	}
}

func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		key := network.key(network.vms["a"])
		network.send(network.vms["a"], key, "match", testTimeout)
		outcome := network.send(network.vms["b"], key, "other body", testTimeout)
		check(t, "outcome", codeAndRan{Code: swcode.KeyReused, Ran: swcode.RanNo}, codeAndRanOf(outcome))
		check(t, "runs", 0, network.backend.count("other body"))
	})
}

func TestKeyOfRefusedWorkMayBeUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		network.backend.refuse = true
		key := network.key(network.vms["a"])
		outcome := network.send(network.vms["b"], key, "match", testTimeout)
		check(t, "refusal", codeAndRan{Code: swcode.ShedByPriority, Ran: swcode.RanNo}, codeAndRanOf(outcome))
		check(t, "memory", int64(0), network.vms["a"].service.Bytes())
		network.backend.refuse = false
		check(t, "resend", ranOK, codeAndRanOf(network.send(network.vms["a"], key, "match", testTimeout)))
	})
}

func TestFullTableRefusesNewKeysAndKeepsEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		vm := network.vms["a"]
		first := network.key(vm)
		check(t, "first", ranOK, codeAndRanOf(network.send(vm, first, "match", testTimeout)))
		full := codeAndRan{Code: swcode.KeyTableFull, Ran: swcode.RanNo}
		last := ranOK
		for range vm.service.config.Limits.MaxBytes / entryOverhead {
			last = codeAndRanOf(network.send(vm, network.key(vm), "filler", testTimeout))
			if last == full {
				break
			}
		}
		check(t, "when full", full, last)
		check(t, "memory within its limit", true, vm.service.Bytes() <= vm.service.config.Limits.MaxBytes)
		check(t, "repeat", ranOK, codeAndRanOf(network.send(network.vms["b"], first, "match", testTimeout)))
		check(t, "runs", 1, network.backend.count("match"))
		time.Sleep(defaultLifetime + defaultRetention + 2*bucketWidth)
		check(t, "after the retention", ranOK, codeAndRanOf(network.send(vm, network.key(vm), "match", testTimeout)))
		check(t, "memory after the retention", outcomeSize(Outcome{Reply: []byte("ran match")}), vm.service.Bytes())
	})
}

func TestPanicGivesUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a")
		vm := network.vms["a"]
		request := RunRequest{Key: network.key(vm)}
		for range 2 {
			outcome := vm.service.Run(t.Context(), request, func(context.Context) Outcome { panic("defect") })
			check(t, "outcome", codeAndRan{Code: swcode.Internal, Ran: swcode.RanUnknown}, codeAndRanOf(outcome))
		}
	})
}
