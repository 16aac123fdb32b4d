package swkey

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

func TestCallerKeyRunsOnceThroughAnyVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b", "c")
		network.backend.runTime = 50 * time.Millisecond
		outcomes := make(chan Outcome, 3)
		for _, name := range []string{"a", "b", "c"} {
			network.group.Go(func(context.Context) {
				outcomes <- network.send(network.vms[name], "invoice 17", "match", testTimeout)
			})
		}
		for range cap(outcomes) {
			check(t, "outcome", ranOK, codeAndRanOf(<-outcomes))
		}
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestClaimIsReadBackAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		network.claims.loseAnswers = 2
		check(t, "first", ranOK, codeAndRanOf(network.send(network.vms["a"], "invoice 17", "match", testTimeout)))
		check(t, "resend", ranOK, codeAndRanOf(network.send(network.vms["b"], "invoice 17", "match", testTimeout)))
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestCallerKeyIsRefusedWhilePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		network.claims.down = true
		outcome := network.send(network.vms["a"], "invoice 17", "match", testTimeout)
		check(t, "outcome", codeAndRan{Code: swcode.ClaimUnavailable, Ran: swcode.RanNo}, codeAndRanOf(outcome))
		check(t, "runs", 0, network.backend.count("match"))
		network.claims.down = false
		check(t, "resend", ranOK, codeAndRanOf(network.send(network.vms["b"], "invoice 17", "match", testTimeout)))
	})
}

func TestClaimNamesOfTwoCallersDiffer(t *testing.T) {
	check(t, "same name", false, claimName("ab", "c") == claimName("a", "bc"))
}

func TestClaimHoldsAcrossBuckets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a", "b")
		time.Sleep(defaultClaimBucket - time.Second)
		network.send(network.vms["a"], "invoice 17", "match", testTimeout)
		for range 3 {
			time.Sleep(defaultClaimBucket - 2*time.Second)
			network.send(network.vms["b"], "invoice 17", "match", testTimeout)
		}
		check(t, "runs", 1, network.backend.count("match"))
	})
}

func TestClaimsWithClocksInAdjacentBucketsAgree(t *testing.T) {
	orders := map[string][]int64{"later bucket first": {1, 0, 1}, "earlier bucket first": {0, 1, 0}}
	for name, order := range orders {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newFakeNetwork(t, "a")
				service := network.vms["a"].service
				var keys []string
				for _, bucket := range order {
					key := service.ownTable.issue(time.Hour)
					for i := range int64(claimBuckets) {
						var err error
						key, err = service.claimInBucket(t.Context(), bucket+i, "desk", "invoice 17", key)
						check(t, "error", nil, err)
					}
					keys = append(keys, key)
				}
				check(t, "all the same key", []string{keys[0], keys[0]}, keys[1:])
			})
		})
	}
}

func TestCleanerDeletesExpiredClaimsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork(t, "a")
		cleaner := NewClaimCleaner(&network.claims, 0)
		network.send(network.vms["a"], "invoice 17", "match", testTimeout)
		time.Sleep(3 * defaultClaimBucket)
		network.send(network.vms["a"], "invoice 18", "match", testTimeout)
		deleted, err := cleaner.Clean(t.Context())
		check(t, "error", nil, err)
		check(t, "deleted", 1, deleted)
		network.claims.listed = nil
		time.Sleep(defaultClaimBucket)
		deleted, err = cleaner.Clean(t.Context())
		check(t, "error", nil, err)
		check(t, "deleted later", 1, deleted)
		check(t, "lists", 1, len(network.claims.listed))
	})
}
