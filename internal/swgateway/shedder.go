package swgateway

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// crowdedMemory is the time after which a search counts half in the share of crowded ones: a few dozen searches of one VM.
	crowdedMemory = 500 * time.Millisecond
	// fewestSearches is the number of searches below which their share says nothing.
	fewestSearches = 5
	// crowdedHigh and crowdedLow are the shares of crowded searches above which fewer are admitted and below which more are.
	crowdedHigh = 0.35
	crowdedLow  = 0.15
	// levelDown and levelUp change the admitted part, at most once every levelEvery: down by a part, up by a step.
	levelDown  = 0.85
	levelUp    = 0.05
	levelEvery = 150 * time.Millisecond
	// levelLeast is the part that is always admitted, so that the end of the load shows.
	levelLeast = 0.5
	// returnBonus is how much more of those that come back after a refusal is admitted than of those that come first.
	returnBonus = 0.3
	// crowdedRetryLeast and crowdedRetryMost bound when a refused search may come back, spread evenly: longer than the work that
	// is queued, and within what clients wait.
	crowdedRetryLeast = 200 * time.Millisecond
	crowdedRetryMost  = 700 * time.Millisecond
)

// admission decides how many searches of a route begin. It answers the load in which some shards are over capacity: without it
// every search is sent to all shards, the others work, and the searches lose their parts at the full ones, so that nearly none
// is answered in time. Refusing some of them whole, before any replica works, leaves the rest what they need. The most
// urgent priority is never refused here.
//
// A search is crowded when a replica rejected a part of it because of its queue, which its latency shows, and it did not get its
// least coverage in time. Rejections of a replica that answers fast are no load, and shedding would not help against them.
type admission struct {
	mutex sync.Mutex
	// searches and crowded are decayed counts as of counted.
	searches float64
	crowded  float64
	counted  time.Time
	level    float64
	changed  time.Time
}

func newAdmission() *admission {
	return &admission{level: 1}
}

// note takes the end of a search.
func (admission *admission) note(now time.Time, crowded bool) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	kept := math.Exp2(-float64(now.Sub(admission.counted)) / float64(crowdedMemory))
	admission.counted = now
	admission.searches = kept*admission.searches + 1
	admission.crowded *= kept
	if crowded {
		admission.crowded++
	}
	if admission.searches < fewestSearches || now.Sub(admission.changed) < levelEvery {
		return
	}
	switch share := admission.crowded / admission.searches; {
	case share > crowdedHigh:
		admission.level = max(levelLeast, levelDown*admission.level)
	case share < crowdedLow:
		admission.level = min(1, admission.level+levelUp)
	default:
		return
	}
	admission.changed = now
}

// admits reports whether a search begins. draw is evenly distributed between 0 and 1.
func (admission *admission) admits(draw float64, returned bool) bool {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	level := admission.level
	if returned {
		level += returnBonus
	}
	return draw < level
}

// admit refuses a search when shards that it needs are over capacity.
func (gateway *Gateway) admit(request *request) *Refusal {
	if !request.route.Gathered() || request.route.Priority == 0 {
		return nil
	}
	if gateway.admissions.GetOrPut(request.route.Name, newAdmission).admits(rand.Float64(), request.returned) {
		return nil
	}
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: swcode.ShedByPriority,
		RetryAfter: crowdedRetryLeast + time.Duration(rand.Float64()*float64(crowdedRetryMost-crowdedRetryLeast)),
	}
}

// noteCrowding tells the admission of the route how a search ended.
func (call *call) noteCrowding(now time.Time) {
	if !call.request.route.Gathered() || call.gone {
		return
	}
	late := !call.request.answerBy.IsZero() && now.After(call.request.answerBy.Add(clientMargin))
	crowded := call.crowded && (late || !call.enough(call.answers))
	call.gateway.admissions.GetOrPut(call.request.route.Name, newAdmission).note(now, crowded)
}
