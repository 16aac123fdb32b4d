package swgateway

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swshare"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// overloadHalfLife is the time after which a search counts half in the fraction of overloaded ones. It covers a few dozen
	// searches of one VM.
	overloadHalfLife = 500 * time.Millisecond
	// minSearches is the number of searches below which the fraction is ignored, and more searches are admitted as time passes.
	minSearches = 5
	// overloadHigh and overloadLow are the fractions of overloaded searches above which fewer searches are admitted and below
	// which more are.
	overloadHigh = 0.35
	overloadLow  = 0.15
	// admittedDecrease multiplies the admitted fraction and admittedIncrease is added to it, at most once every admittedInterval.
	admittedDecrease = 0.85
	admittedIncrease = 0.05
	admittedInterval = 150 * time.Millisecond
	// minAdmitted is the fraction that is always admitted, so that the end of an overload is noticed.
	minAdmitted = 0.5
	// retryBonus is added to the admitted fraction for clients that retry after a refusal, so that retries are preferred to first requests.
	retryBonus = 0.3
	// minShedRetryAfter and maxShedRetryAfter bound the random Retry-After of a shed search: longer than the queued work takes,
	// and within the time that clients wait.
	minShedRetryAfter = 200 * time.Millisecond
	maxShedRetryAfter = 700 * time.Millisecond
)

// loadShedder decides which fraction of a route's searches is admitted while some of its shards are over capacity. Without it,
// every search is sent to all shards, which all do their work, and the searches miss the parts of the full shards. Then hardly
// any search is answered in time. Refusing some searches before any replica works on them leaves enough capacity for the rest.
// Searches of the most urgent priority are never shed.
//
// A search is overloaded if a replica with a queue, judged by its latency, rejected a part of it, and the search did not reach
// its minimum coverage in time. Rejections by a replica that answers fast are not caused by load, and shedding would not reduce
// them.
type loadShedder struct {
	mutex sync.Mutex
	// searches and overloaded are decaying counts as of countedAt.
	searches   float64
	overloaded float64
	countedAt  time.Time
	admitted   float64
	adjustedAt time.Time
	// ledger holds the searches that the tenants offer.
	ledger *swshare.Ledger[string]
}

func newLoadShedder() *loadShedder {
	return &loadShedder{admitted: 1, ledger: swshare.NewLedger[string]()}
}

// record counts a search that has ended.
func (loadShedder *loadShedder) record(now time.Time, overloaded bool) {
	loadShedder.mutex.Lock()
	defer loadShedder.mutex.Unlock()
	loadShedder.advance(now)
	loadShedder.searches++
	if overloaded {
		loadShedder.overloaded++
	}
	if loadShedder.searches < minSearches || now.Sub(loadShedder.adjustedAt) < admittedInterval {
		return
	}
	switch share := loadShedder.overloaded / loadShedder.searches; {
	case share > overloadHigh:
		loadShedder.admitted = max(minAdmitted, admittedDecrease*loadShedder.admitted)
	case share < overloadLow:
		loadShedder.admitted = min(1, loadShedder.admitted+admittedIncrease)
	default:
		return
	}
	loadShedder.adjustedAt = now
}

// advance lets the counts decay, and raises the admitted fraction while there are too few searches to measure an overload. The caller holds
// the mutex.
func (loadShedder *loadShedder) advance(now time.Time) {
	kept := math.Exp2(-float64(now.Sub(loadShedder.countedAt)) / float64(overloadHalfLife))
	loadShedder.countedAt = now
	loadShedder.searches *= kept
	loadShedder.overloaded *= kept
	if passed := now.Sub(loadShedder.adjustedAt); loadShedder.searches < minSearches && passed >= admittedInterval {
		loadShedder.admitted = min(1, loadShedder.admitted+admittedIncrease*float64(passed/admittedInterval))
		loadShedder.adjustedAt = now
	}
}

// admits reports whether a search may start. draw is a uniform random number from 0 to 1.
func (loadShedder *loadShedder) admits(now time.Time, draw float64, clientRetry bool) bool {
	loadShedder.mutex.Lock()
	defer loadShedder.mutex.Unlock()
	loadShedder.advance(now)
	admitted := loadShedder.admitted
	if clientRetry {
		admitted += retryBonus
	}
	return draw < admitted
}

// admitsOf reports whether a search of a tenant may start, and returns the admitted fraction of the searches of its class beside that of all.
// Where there are tenants, clients that retry are not preferred: a hot tenant whose clients retry at once would gain from it.
func (loadShedder *loadShedder) admitsOf(now time.Time, draw float64, class swshare.Class[string], work time.Duration) (admitted bool, ofClass, ofAll float64) {
	loadShedder.mutex.Lock()
	defer loadShedder.mutex.Unlock()
	loadShedder.advance(now)
	loadShedder.ledger.Offer(now, class, work)
	ofClass = loadShedder.ledger.AdmittedFraction(now, class, loadShedder.admitted)
	return draw < ofClass, ofClass, loadShedder.admitted
}

// shedLoad refuses a search if shards that it needs are over capacity. Where there are tenants, those that offer more than their share are
// refused first, and their clients told to come back later, so that they offer less.
func (handler *Handler) shedLoad(request *request) *Refusal {
	if !request.route.Gathered() || request.route.Priority == 0 && !request.table.HasTenants() {
		return nil
	}
	loadShedder := handler.loadShedderOf(request)
	stretch := 1.0
	if request.table.HasTenants() {
		admitted, ofClass, ofAll := loadShedder.admitsOf(time.Now(), rand.Float64(), request.class(), request.work)
		if admitted || request.priority() <= 0 {
			return nil
		}
		request.shareAdmitted, stretch = ofClass, max(1, ofAll/ofClass)
	} else if loadShedder.admits(time.Now(), rand.Float64(), request.clientRetry) {
		return nil
	}
	retryAfter := minShedRetryAfter + time.Duration(rand.Float64()*float64(maxShedRetryAfter-minShedRetryAfter))
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: swcode.ShedByPriority, RetryAfter: time.Duration(stretch * float64(retryAfter)),
	}
}

// recordOverload reports the end of a search to the load shedder of its route.
func (call *call) recordOverload(now time.Time) {
	if !call.request.route.Gathered() || call.clientGone {
		return
	}
	targetMissed := !call.request.answerBy.IsZero() && now.After(call.request.answerBy.Add(targetMargin))
	overloaded := call.overloaded && (targetMissed || !call.coverageMet(call.answeredShards))
	call.handler.loadShedderOf(call.request).record(now, overloaded)
}
