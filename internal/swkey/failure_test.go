package swkey

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

var (
	issuerGone        = codeAndRan{Code: swcode.IssuerGone, Ran: swcode.RanUnknown}
	issuerUnreachable = codeAndRan{Code: swcode.IssuerUnreachable, Ran: swcode.RanUnknown}
)

// handoverMessages is the number of messages of a handover of a table of one part: the offer and the commit.
const handoverMessages = 2

func TestRequestDoesNotRunAfterPausedIssuerResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		key := network.key(network.vms["a"])
		network.pause("a")
		outcome := network.send(network.vms["b"], key, "match", testTimeout)
		check(t, "request while the issuer is paused", issuerUnreachable, codeAndRanOf(outcome))
		time.Sleep(time.Minute)
		network.resumeByName("a")
		synctest.Wait()
		check(t, "runs after the issuer resumed", 0, network.backend.count("match"))
	})
}

func TestBufferedRequestDoesNotRunAfterItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		vm := network.vms["a"]
		first := network.key(vm)
		check(t, "first", ranOK, codeAndRanOf(network.send(network.vms["b"], first, "match", testTimeout)))
		key := network.key(vm)
		network.pause("a")
		outcome := network.send(network.vms["b"], key, "second match", testTimeout)
		check(t, "request to a located issuer that is paused", issuerUnreachable, codeAndRanOf(outcome))
		network.resumeByName("a")
		synctest.Wait()
		check(t, "runs after the issuer resumed", 0, network.backend.count("second match"))
	})
}

func TestStartBeforeLimitsDirectRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a")
		vm := network.vms["a"]
		batch, err := vm.service.Issue(t.Context(), 1)
		check(t, "error", nil, err)
		request := RunRequest{Key: batch.Keys[0], StartBefore: batch.Clock + testTimeout}
		time.Sleep(testTimeout)
		outcome := vm.service.Run(t.Context(), request, func(ctx context.Context) Outcome {
			return network.execute(ctx, vm, "match")
		})
		check(t, "outcome", codeAndRan{Code: swcode.DeadlineExceeded, Ran: swcode.RanNo}, codeAndRanOf(outcome))
		check(t, "runs", 0, network.backend.count("match"))
	})
}

func TestResendAfterIssuerCrash(t *testing.T) {
	tests := []struct {
		name string
		// killAt is when the issuer crashes. The run lasts from 0 to 100 ms; a negative time is before the request.
		killAt time.Duration
		runs   int
	}{
		{"before the run", -time.Millisecond, 0},
		{"during the run", 50 * time.Millisecond, 1},
		{"after the run", 150 * time.Millisecond, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newFakeNetwork(t, "a", "b", "c")
				network.backend.runTime = 100 * time.Millisecond
				key := network.key(network.vms["a"])
				if test.killAt >= 0 {
					network.group.Go(func(context.Context) { network.send(network.vms["a"], key, "match", testTimeout) })
					time.Sleep(test.killAt)
				}
				network.kill("a")
				check(t, "while the issuer is down", issuerUnreachable, codeAndRanOf(network.send(network.vms["b"], key, "match", testTimeout)))
				network.start("a")
				check(t, "through another VM, after the restart", issuerGone, codeAndRanOf(network.send(network.vms["b"], key, "match", testTimeout)))
				check(t, "through the restarted issuer", issuerUnreachable, codeAndRanOf(network.send(network.vms["a"], key, "match", testTimeout)))
				check(t, "runs", test.runs, network.backend.count("match"))
			})
		})
	}
}

func TestResendDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b", "c")
		key := network.key(network.vms["a"])
		network.partition("a", "b", true)
		check(t, "during the partition", issuerUnreachable, codeAndRanOf(network.send(network.vms["b"], key, "match", testTimeout)))
		check(t, "another VM", ranOK, codeAndRanOf(network.send(network.vms["c"], key, "match", testTimeout)))
		network.partition("a", "b", false)
		check(t, "after the partition", ranOK, codeAndRanOf(network.send(network.vms["b"], key, "match", testTimeout)))
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestResendAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		key := network.key(network.vms["a"])
		locate, run := 1, 2
		network.loseAnswer = func(number int) bool { return number == run && number != locate }
		outcome := network.send(network.vms["b"], key, "match", testTimeout)
		check(t, "answer lost", issuerUnreachable, codeAndRanOf(outcome))
		check(t, "resend", ranOK, codeAndRanOf(network.send(network.vms["b"], key, "match", testTimeout)))
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestHandoverMovesKeyTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b", "c")
		used, unused := network.key(network.vms["a"]), network.key(network.vms["a"])
		network.send(network.vms["a"], used, "match", testTimeout)
		check(t, "handover", nil, network.vms["a"].service.Handover(t.Context()))
		_, err := network.vms["a"].service.Issue(t.Context(), 1)
		check(t, "old VM issues no more keys", true, err != nil)
		check(t, "old VM forwards requests", ranOK, codeAndRanOf(network.send(network.vms["a"], unused, "count", testTimeout)))
		network.kill("a")
		for _, name := range []string{"b", "c"} {
			check(t, "used key at "+name, ranOK, codeAndRanOf(network.send(network.vms[name], used, "match", testTimeout)))
			check(t, "unused key at "+name, ranOK, codeAndRanOf(network.send(network.vms[name], unused, "count", testTimeout)))
		}
		check(t, "runs", []int{1, 1}, []int{network.backend.count("match"), network.backend.count("count")})
	})
}

func TestResendFollowsMovedKeyTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b", "c")
		used, unused := network.key(network.vms["a"]), network.key(network.vms["a"])
		check(t, "located", ranOK, codeAndRanOf(network.send(network.vms["c"], used, "match", testTimeout)))
		check(t, "handover", nil, network.vms["a"].service.Handover(t.Context()))
		network.kill("a")
		check(t, "used key", ranOK, codeAndRanOf(network.send(network.vms["c"], used, "match", testTimeout)))
		check(t, "unused key", ranOK, codeAndRanOf(network.send(network.vms["c"], unused, "count", testTimeout)))
	})
}

func TestSuccessiveHandovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b", "c", "d")
		key := network.key(network.vms["a"])
		network.send(network.vms["a"], key, "match", testTimeout)
		for _, name := range []string{"a", "b", "c"} {
			check(t, "handover", nil, network.vms[name].service.Handover(t.Context()))
			network.kill(name)
			network.remove(name)
		}
		check(t, "outcome", ranOK, codeAndRanOf(network.send(network.vms["d"], key, "match", testTimeout)))
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestHandoverOfLargeTableInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t)
		network.limits.MaxBytes = 64 << 20
		a, b := network.start("a"), network.start("b")
		var keys []string
		for range 2 * maxPartSize / entryOverhead {
			key := network.key(a)
			keys = append(keys, key)
			network.send(a, key, "match", testTimeout)
		}
		before := network.backend.count("match")
		parts := a.service.ownTable.exportEntries()
		check(t, "parts", true, len(parts) > 1)
		for _, part := range parts {
			size := int64(0)
			for i := range part {
				size += outcomeSize(part[i].Outcome)
			}
			check(t, "part within its limit", true, size > 0 && size <= maxPartSize)
		}
		check(t, "handover", nil, a.service.Handover(t.Context()))
		check(t, "memory", a.service.Bytes(), b.service.Bytes())
		for _, key := range keys {
			check(t, "outcome", ranOK, codeAndRanOf(network.send(b, key, "match", testTimeout)))
		}
		check(t, "runs", before, network.backend.count("match"))
	})
}

func TestHandoverSkipsFullSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t)
		network.limits.MaxBytes = entryOverhead
		full := network.start("b")
		network.limits.MaxBytes = 64 << 10
		a := network.start("a")
		network.start("c")
		key := network.key(a)
		network.send(a, key, "match", testTimeout)
		check(t, "handover", nil, a.service.Handover(t.Context()))
		_, held := full.service.keyTables.Get(a.service.self)
		check(t, "held by the full VM", false, held)
		check(t, "memory of the full VM", int64(0), full.service.Bytes())
		check(t, "outcome", ranOK, codeAndRanOf(network.send(full, key, "match", testTimeout)))
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestUnusedKeyTableIsNotHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		check(t, "handover", nil, network.vms["a"].service.Handover(t.Context()))
		check(t, "messages", 0, network.messages)
	})
}

func TestAdoptedKeyTableIsDroppedAfterItsLastKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		a, b := network.vms["a"], network.vms["b"]
		key := network.key(a)
		network.send(a, key, "match", testTimeout)
		check(t, "handover", nil, a.service.Handover(t.Context()))
		network.kill("a")
		time.Sleep(defaultLifetime + defaultRetention - 5*time.Second)
		check(t, "before the end of the retention", ranOK, codeAndRanOf(network.send(b, key, "match", testTimeout)))
		time.Sleep(10 * time.Second)
		network.send(b, network.key(b), "count", testTimeout)
		check(t, "holders", 0, network.holders(a.service.self))
		check(t, "memory", outcomeSize(Outcome{Reply: []byte("ran count")}), b.service.Bytes())
		check(t, "status", []IssuerStatus{{
			Name:        "b",
			Incarnation: b.service.Status().Issuers[0].Incarnation,
			Runs:        1,
			Until:       defaultLifetime + defaultRetention,
		}}, b.service.Status().Issuers)
		check(t, "after the end of the retention", issuerUnreachable, codeAndRanOf(network.send(b, key, "match", testTimeout)))
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestHandoverWaitsForRunsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		network.backend.runTime = time.Second
		key := network.key(network.vms["a"])
		outcomes := make(chan Outcome, 1)
		network.group.Go(func(context.Context) { outcomes <- network.send(network.vms["a"], key, "match", testTimeout) })
		synctest.Wait()
		check(t, "handover", nil, network.vms["a"].service.Handover(t.Context()))
		check(t, "run in flight", ranOK, codeAndRanOf(<-outcomes))
		network.kill("a")
		check(t, "repeat at the successor", ranOK, codeAndRanOf(network.send(network.vms["b"], key, "match", testTimeout)))
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestUnfinishedRunIsHandedOverAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		network.backend.runTime = time.Minute
		key := network.key(network.vms["a"])
		network.group.Go(func(context.Context) { network.send(network.vms["a"], key, "match", testTimeout) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		check(t, "handover", nil, network.vms["a"].service.Handover(ctx))
		network.kill("a")
		unknown := codeAndRan{Code: swcode.OutcomeUnknown, Ran: swcode.RanUnknown}
		check(t, "repeat", unknown, codeAndRanOf(network.send(network.vms["b"], key, "match", testTimeout)))
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestLostHandoverMessagesLeaveOneHolder(t *testing.T) {
	for lost := 1; lost <= handoverMessages; lost++ {
		for _, answer := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				network := newFakeNetwork(t, "a", "b", "c")
				lose := func(number int) bool { return number == lost }
				if answer {
					network.loseAnswer = lose
				} else {
					network.loseRequest = lose
				}
				key := network.key(network.vms["a"])
				check(t, "handover", nil, network.vms["a"].service.Handover(t.Context()))
				network.stopLosingMessages()
				check(t, "holders", 1, network.holders(network.vms["a"].service.self))
				network.kill("a")
				for _, name := range []string{"b", "c"} {
					check(t, "outcome at "+name, ranOK, codeAndRanOf(network.send(network.vms[name], key, "match", testTimeout)))
				}
				check(t, "runs", 1, network.backend.count("match"))
			})
		}
	}
}

func TestCrashDuringHandoverLeavesAtMostOneHolder(t *testing.T) {
	for crashAt := 1; crashAt <= handoverMessages; crashAt++ {
		synctest.Test(t, func(t *testing.T) {
			network := newFakeNetwork(t, "a", "b", "c")
			network.loseAnswer = func(number int) bool {
				network.vms["a"].dead = network.vms["a"].dead || number >= crashAt
				return number >= crashAt
			}
			key := network.key(network.vms["a"])
			issuer := network.vms["a"].service.self
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			err := network.vms["a"].service.Handover(ctx)
			check(t, "handover fails", true, err != nil)
			network.stopLosingMessages()
			check(t, "at most one holder", true, network.holders(issuer) <= 1)
			for _, name := range []string{"b", "c"} {
				network.send(network.vms[name], key, "match", testTimeout)
			}
			check(t, "at most one run", true, network.backend.count("match") <= 1)
		})
	}
}

func TestAdoptedClockIsNotBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		time.Sleep(time.Hour)
		batch, err := network.vms["a"].service.Issue(t.Context(), 1)
		check(t, "error", nil, err)
		old := network.vms["a"].service.ownTable.clock
		check(t, "handover", nil, network.vms["a"].service.Handover(t.Context()))
		adopted, held := network.vms["b"].service.keyTables.Get(network.vms["a"].service.self)
		check(t, "held", true, held)
		check(t, "clock not behind", true, adopted.clock.now() >= old.now())
		time.Sleep(batch.Expires)
		outcome := network.send(network.vms["b"], batch.Keys[0], "match", testTimeout)
		check(t, "expired at the successor", codeAndRan{Code: swcode.KeyExpired, Ran: swcode.RanNo}, codeAndRanOf(outcome))
	})
}

// stopLosingMessages ends the loss of messages.
func (network *fakeNetwork) stopLosingMessages() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.loseRequest = nil
	network.loseAnswer = nil
}

func (network *fakeNetwork) remove(name string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	delete(network.vms, name)
}

// holders returns the number of live VMs that hold an issuer's active key table.
func (network *fakeNetwork) holders(issuer Issuer) int {
	count := 0
	for _, vm := range network.vms {
		keyTable, held := vm.service.keyTables.Get(issuer)
		if !held || network.isDead(vm) {
			continue
		}
		if phase, _ := keyTable.phaseAndSuccessor(); phase == active {
			count++
		}
	}
	return count
}

// TestRequestToleratesBriefPauseOfIssuer guards against refusing a request because the issuer is paused for longer than
// LocateTimeout, as happens on an overloaded machine.
func TestRequestToleratesBriefPauseOfIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		key := network.key(network.vms["a"])
		network.pause("a")
		network.group.Go(func(context.Context) {
			time.Sleep(2 * defaultLocateTimeout)
			network.resumeByName("a")
		})
		check(t, "outcome", ranOK, codeAndRanOf(network.send(network.vms["b"], key, "match", testTimeout)))
		check(t, "runs", 1, network.backend.count("match"))
	})
}
