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

// verdict is what a test compares of an outcome.
type verdict struct {
	Code swcode.Code
	Ran  swcode.Ran
}

func verdictOf(outcome Outcome) verdict {
	return verdict{Code: outcome.Code, Ran: outcome.Ran}
}

func check(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

var ranOnce = verdict{Code: swcode.OK, Ran: swcode.RanYes}

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

func TestResendAtOnceThroughTwoVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b", "c")
		network.backend.takes = 100 * time.Millisecond
		key := network.key(network.vms["a"])
		outcomes := make(chan Outcome, 3)
		for _, name := range []string{"a", "b", "c"} {
			network.group.Go(func(context.Context) { outcomes <- network.send(network.vms[name], key, "match", testTimeout) })
		}
		for range cap(outcomes) {
			check(t, "outcome", ranOnce, verdictOf(<-outcomes))
		}
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestConcurrentRepeatIsBoundedByItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		network.backend.takes = time.Second
		key := network.key(network.vms["a"])
		network.group.Go(func(context.Context) { network.send(network.vms["a"], key, "match", testTimeout) })
		synctest.Wait()
		outcome := network.send(network.vms["a"], key, "match", 100*time.Millisecond)
		check(t, "early repeat", verdict{Code: swcode.RunInProgress, Ran: swcode.RanUnknown}, verdictOf(outcome))
		check(t, "late repeat", ranOnce, verdictOf(network.send(network.vms["b"], key, "match", testTimeout)))
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
		want verdict
	}{
		{"altered", func(_ *fakeVM, key string) string { return alter(key) }, verdict{Code: swcode.KeyInvalid}},
		{"truncated", func(_ *fakeVM, key string) string { return key[:12] }, verdict{Code: swcode.KeyInvalid}},
		{"empty", func(*fakeVM, string) string { return "" }, verdict{Code: swcode.KeyInvalid}},
		{"too long", func(*fakeVM, string) string { return strings.Repeat("k", MaxKeySize+1) }, verdict{Code: swcode.KeyInvalid}},
		{"forged", func(vm *fakeVM, _ string) string {
			forged.Issuer = vm.service.self
			return forged.Encode(newSecret())
		}, verdict{Code: swcode.KeyInvalid}},
		{"expired", func(_ *fakeVM, key string) string {
			time.Sleep(defaultLifetime)
			return key
		}, verdict{Code: swcode.KeyExpired}},
		{"expired long ago", func(_ *fakeVM, key string) string {
			time.Sleep(defaultLifetime + defaultRetention)
			return key
		}, verdict{Code: swcode.KeyExpired, Ran: swcode.RanUnknown}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newFakeNetwork(t, "a", "b")
				vm := network.vms["a"]
				key := test.key(vm, network.key(vm))
				check(t, "at the issuer", test.want, verdictOf(network.send(vm, key, "match", testTimeout)))
				check(t, "elsewhere", test.want, verdictOf(network.send(network.vms["b"], key, "match", testTimeout)))
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
		check(t, "outcome", verdict{Code: swcode.KeyReused}, verdictOf(outcome))
		check(t, "runs", 0, network.backend.count("other body"))
	})
}

func TestKeyOfRefusedWorkMayBeUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		network.backend.refuse = true
		key := network.key(network.vms["a"])
		outcome := network.send(network.vms["b"], key, "match", testTimeout)
		check(t, "refusal", verdict{Code: swcode.ShedByPriority}, verdictOf(outcome))
		check(t, "memory", int64(0), network.vms["a"].service.Bytes())
		network.backend.refuse = false
		check(t, "resend", ranOnce, verdictOf(network.send(network.vms["a"], key, "match", testTimeout)))
	})
}

func TestFullTableRefusesAndForgetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		vm := network.vms["a"]
		first := network.key(vm)
		check(t, "first", ranOnce, verdictOf(network.send(vm, first, "match", testTimeout)))
		full := verdict{Code: swcode.KeyTableFull}
		last := ranOnce
		for range vm.service.config.Limits.MaxBytes / entryOverhead {
			last = verdictOf(network.send(vm, network.key(vm), "filler", testTimeout))
			if last == full {
				break
			}
		}
		check(t, "when full", full, last)
		check(t, "memory within its limit", true, vm.service.Bytes() <= vm.service.config.Limits.MaxBytes)
		check(t, "repeat", ranOnce, verdictOf(network.send(network.vms["b"], first, "match", testTimeout)))
		check(t, "runs", 1, network.backend.count("match"))
		time.Sleep(defaultLifetime + defaultRetention + 2*bucketWidth)
		check(t, "after the retention", ranOnce, verdictOf(network.send(vm, network.key(vm), "match", testTimeout)))
		check(t, "memory after the retention", outcomeSize(Outcome{Reply: []byte("ran match")}), vm.service.Bytes())
	})
}

func TestPanicOfRunIsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a")
		vm := network.vms["a"]
		request := RunRequest{Key: network.key(vm)}
		for range 2 {
			outcome := vm.service.Run(t.Context(), request, func(context.Context) Outcome { panic("defect") })
			check(t, "outcome", verdict{Code: swcode.Internal, Ran: swcode.RanUnknown}, verdictOf(outcome))
		}
	})
}
