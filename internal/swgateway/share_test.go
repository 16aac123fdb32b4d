package swgateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swshare"
)

// offer is the load of one tenant in a replay.
type offer struct {
	tenant    *swroute.Tenant
	perSecond float64
	// from and to are when the tenant sends; zero for all the time.
	from, to time.Duration
	// retries is how often its clients send a request again at once.
	retries int
}

// sends reports whether the tenant sends at a time after the start.
func (offer *offer) sends(at time.Duration) bool {
	return offer.to == 0 || at >= offer.from && at < offer.to
}

// tally counts what a tenant offered and what was served of it.
type tally struct{ offered, served int }

func (tally tally) fraction() float64 { return float64(tally.served) / float64(max(1, tally.offered)) }

// replay sends the requests of tenants at random times, counts those that arrive after the first two seconds, and returns the tallies by tenant
// and that of all.
func (testHandler *testHandler) replay(random *rand.Rand, path string, offers []offer, lasting time.Duration) (byTenant map[string]*tally, all tally) {
	const settling = 2 * time.Second
	byTenant = make(map[string]*tally)
	total := 0.0
	for _, offer := range offers {
		byTenant[offer.tenant.Name] = &tally{}
		total += offer.perSecond
	}
	var clients sync.WaitGroup
	var mutex sync.Mutex
	for start := time.Now(); time.Since(start) < settling+lasting; {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / total))
		point, next := random.Float64()*total, 0
		for point >= offers[next].perSecond && next < len(offers)-1 {
			point -= offers[next].perSecond
			next++
		}
		tenant, retries, counted := offers[next].tenant, offers[next].retries, time.Since(start) >= settling
		if !offers[next].sends(time.Since(start)) {
			continue
		}
		clients.Go(func() {
			header := http.Header{"Credential": {tenant.Keys[0]}}
			_, got := testHandler.sendWithHeader(context.Background(), http.MethodGet, path, "", time.Second, header)
			for range retries {
				if got.Code != http.StatusOK {
					_, got = testHandler.sendWithHeader(context.Background(), http.MethodGet, path, "", time.Second, header)
				}
			}
			if !counted {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			for _, tally := range []*tally{byTenant[tenant.Name], &all} {
				tally.offered++
				if got.Code == http.StatusOK {
					tally.served++
				}
			}
		})
	}
	clients.Wait()
	return byTenant, all
}

// calmTenants returns a number of tenants with the same load.
func calmTenants(count int, perSecond float64) []offer {
	var offers []offer
	for i := range count {
		name := fmt.Sprint("calm", i)
		offers = append(offers, offer{tenant: tenant(name, "key of "+name), perSecond: perSecond})
	}
	return offers
}

func tenantsOf(offers []offer) []*swroute.Tenant {
	var tenants []*swroute.Tenant
	for _, offer := range offers {
		tenants = append(tenants, offer.tenant)
	}
	return tenants
}

// chance is the fraction by which a tenant with some seventy requests may be served less than all like it.
const chance = 0.2

// checkCalmTenants checks that the tenants but the hot one are served at the given fraction, each of them but for chance, and none at less than
// a quarter of all.
func checkCalmTenants(t *testing.T, byTenant map[string]*tally, all tally, least float64) {
	t.Helper()
	var others tally
	for name, tally := range byTenant {
		if name != "hot" {
			others.offered, others.served = others.offered+tally.offered, others.served+tally.served
		}
		if name != "hot" && tally.fraction() < least-chance {
			t.Errorf("%s is served at %.2f, want %.2f but for chance", name, tally.fraction(), least)
		}
		if tally.fraction() < all.fraction()/4 {
			t.Errorf("%s is served at %.2f, all at %.2f", name, tally.fraction(), all.fraction())
		}
	}
	if others.offered > 0 && others.fraction() < least {
		t.Errorf("the other tenants are served at %.2f, want %.2f", others.fraction(), least)
	}
	t.Logf("all %.2f of %d, hot %.2f, others %.2f", all.fraction(), all.offered, byTenant["hot"].fraction(), others.fraction())
}

// TestHotTenantGetsWhatOthersLeave replays a tenant that sends several times its usual load to a service of 200 requests a second: alone, beside
// nine others, for two seconds only, and with one replica five times slower. It guards against others that are refused or late because of it, and against capacity that
// is left unused.
func TestHotTenantGetsWhatOthersLeave(t *testing.T) {
	fast := func() func(*receivedRequest) { return limitedCapacity(1, 6, 10*time.Millisecond) }
	slow := func() func(*receivedRequest) { return limitedCapacity(1, 6, 50*time.Millisecond) }
	for name, test := range map[string]struct {
		second      func() func(*receivedRequest)
		others      int
		burst       bool
		leastOthers float64
		leastServed float64
	}{
		"alone":         {fast, 0, false, 0, 160},
		"beside others": {fast, 9, false, 0.9, 160},
		"with a burst":  {fast, 9, true, 0.95, 70},
		// Some requests of the others are rejected at both replicas, and the repeats are used up.
		"a slow replica": {slow, 9, false, 0.75, 85},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 0.2)
				defer testHandler.close()
				testHandler.addReplica("s", "a", fast())
				testHandler.addReplica("s", "b", test.second())
				hot := offer{tenant: tenant("hot", "key of hot"), perSecond: 600}
				if test.burst {
					hot.from, hot.to = 5*time.Second, 7*time.Second
				}
				offers := append(calmTenants(test.others, 7), hot)
				testHandler.setRoutes(tenantRoutes(), tenantsOf(offers)...)
				const lasting = 10 * time.Second
				byTenant, all := testHandler.replay(rand.New(rand.NewPCG(1, 1)), "/x", offers, lasting)
				checkCalmTenants(t, byTenant, all, test.leastOthers)
				if rate := float64(all.served) / lasting.Seconds(); rate < test.leastServed {
					t.Errorf("%.0f requests served a second, want %.0f", rate, test.leastServed)
				}
			})
		})
	}
}

// TestRetriesAtOnceGainLittle guards against a tenant whose clients send refused requests again at once, and which gets more of the capacity than
// an equal one whose clients do not.
func TestRetriesAtOnceGainLittle(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 0.2)
		defer testHandler.close()
		testHandler.addReplica("s", "a", limitedCapacity(2, 6, 10*time.Millisecond))
		offers := append(calmTenants(9, 7),
			offer{tenant: tenant("patient", "key of patient"), perSecond: 150}, offer{tenant: tenant("hot", "key of hot"), perSecond: 150, retries: 4})
		testHandler.setRoutes(tenantRoutes(), tenantsOf(offers)...)
		byTenant, all := testHandler.replay(rand.New(rand.NewPCG(1, 1)), "/x", offers, 10*time.Second)
		hot, patient := byTenant["hot"], byTenant["patient"]
		t.Logf("of %d, all %d served; of the patient tenant %d of %d, of the other %d of %d", all.offered, all.served, patient.served, patient.offered, hot.served, hot.offered)
		if float64(hot.served) > 1.4*float64(patient.served) {
			t.Errorf("%d requests of clients that retry at once are served, %d of the others", hot.served, patient.served)
		}
		for name, tally := range byTenant {
			if name != "hot" && name != "patient" && tally.fraction() < 0.9 {
				t.Errorf("%s is served at %.2f", name, tally.fraction())
			}
		}
	})
}

// TestManyTenantsShareTooLittleCapacity replays 73 tenants of skewed sizes, half of them urgent, that offer twice what a service can take.
func TestManyTenantsShareTooLittleCapacity(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 0.2)
		defer testHandler.close()
		testHandler.addReplica("s", "a", limitedCapacity(2, 6, 10*time.Millisecond))
		offers := calmTenants(73, 2)
		urgent := make(map[string]bool)
		for i := range offers {
			offers[i].tenant.Priority, offers[i].tenant.HasPriority = i%2, true
			urgent[offers[i].tenant.Name] = i%2 == 0
		}
		offers[1].tenant.Name = "hot"
		for i, perSecond := range []float64{45, 120, 20, 30, 9, 12, 7} {
			offers[i].perSecond = perSecond
		}
		testHandler.setRoutes(tenantRoutes(), tenantsOf(offers)...)
		byTenant, all := testHandler.replay(rand.New(rand.NewPCG(1, 1)), "/x", offers, 2*time.Minute)
		checkCalmTenants(t, byTenant, all, 0)
		var sums [2]tally
		for name, tally := range byTenant {
			sum := &sums[1]
			if urgent[name] {
				sum = &sums[0]
			}
			sum.offered, sum.served = sum.offered+tally.offered, sum.served+tally.served
		}
		if sums[0].fraction() < sums[1].fraction()-0.05 {
			t.Errorf("urgent requests are served at %.2f, others at %.2f", sums[0].fraction(), sums[1].fraction())
		}
		t.Logf("urgent %.2f, others %.2f", sums[0].fraction(), sums[1].fraction())
	})
}

// TestSearchesOfHotTenantAreRefusedFirst replays searches to shards that process 60 a second: 76 of a hot tenant, 24 of eight others. It guards
// against a load shedder that refuses all alike, and against clients that gain by retrying.
func TestSearchesOfHotTenantAreRefusedFirst(t *testing.T) {
	loadShedder, random, now := newLoadShedder(), rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	shard := &fakeShard{perSecond: 60, at: now}
	byTenant := make(map[string]*tally)
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		name := "hot"
		if draw := random.IntN(100); draw < 24 {
			name = fmt.Sprint("calm", draw/3)
		}
		if byTenant[name] == nil {
			byTenant[name] = &tally{}
		}
		byTenant[name].offered++
		admitted, _, _ := loadShedder.admitsOf(now, random.Float64(), swshare.Class[string]{Priority: 1, Holder: name}, 10*time.Millisecond)
		if !admitted {
			continue
		}
		byTenant[name].served++
		loadShedder.record(now, shard.isOverloaded(now))
	}
	hot := byTenant["hot"].fraction()
	for name, tally := range byTenant {
		if name != "hot" && tally.fraction() < 0.95 {
			t.Errorf("%s is admitted at %.2f, the hot tenant at %.2f", name, tally.fraction(), hot)
		}
	}
	t.Logf("the hot tenant is admitted at %.2f", hot)
	if hot < 0.3 || hot > 0.7 {
		t.Errorf("the hot tenant is admitted at %.2f, want what the others leave", hot)
	}
}
