package swlabrule

import (
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabusers"
)

// checkHomes finds requests that reached a replica outside of the homes of their route and tenant in every version that may have been in
// force.
func (facts *Facts) checkHomes(report *report) {
	for _, arrival := range facts.Arrivals {
		request, sent := facts.Requests[arrival.RequestID]
		if !sent {
			continue
		}
		region := facts.Regions[arrival.DataCentre]
		versions := facts.inForce(request, arrival.At)
		isHome := func(version Version) bool {
			return allows(version.homesOf(arrival.Path), region) && allows(version.Tenants[request.Tenant].Homes, region)
		}
		if len(versions) > 0 && !slices.ContainsFunc(versions, isHome) {
			report.add("HOME", "%s of tenant %q on %s reached %s in region %s", arrival.RequestID, request.Tenant, arrival.Path, arrival.Replica, region)
		}
	}
}

func allows(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// checkEvacuations finds requests that reached a replica of an evacuated data centre although the VM that sent them was in touch for long
// enough to know. Requests without a known sender, such as health probes, count if all VMs were in touch.
func (facts *Facts) checkEvacuations(report *report) {
	for _, arrival := range facts.Arrivals {
		for _, evacuation := range facts.Evacuations {
			if evacuation.DataCentre != arrival.DataCentre || !covers(evacuation.From, evacuation.Until, arrival.At) {
				continue
			}
			vm := facts.Requests[arrival.RequestID].VM
			knownSince, inTouch := inTouchSince(facts.Disturbances, vm, evacuation.From, arrival.At)
			if late := arrival.At.Sub(knownSince) - facts.Bounds.EvacuateWithin - facts.Bounds.InFlight; inTouch && late > 0 {
				report.add("EVACUATED", "%s reached %s in %s, %s too late", describe(arrival), arrival.Replica, arrival.DataCentre, late.Round(time.Millisecond))
			}
		}
	}
}

func describe(arrival swlabusers.Arrival) string {
	if arrival.RequestID == "" {
		return "a request without an ID on " + arrival.Path
	}
	return arrival.RequestID
}

// inTouchSince returns the time from which on a VM was undisturbed until at, but not before from. inTouch is false if it was disturbed at
// that time. An empty VM stands for all of them.
func inTouchSince(disturbances []Disturbance, vm string, from, at time.Time) (since time.Time, inTouch bool) {
	since = from
	for _, disturbance := range disturbances {
		if vm != "" && disturbance.VM != "" && disturbance.VM != vm || disturbance.From.After(at) {
			continue
		}
		if covers(disturbance.From, disturbance.Until, at) {
			return since, false
		}
		if disturbance.Until.After(since) {
			since = disturbance.Until
		}
	}
	return since, true
}

// coldWindow is the period over which the requests at a cold replica are counted.
const coldWindow = time.Second

// checkCold finds cold replicas that got more requests within a second than they take. Misdirected requests and health probes don't count.
func (facts *Facts) checkCold(report *report) {
	bound := facts.Bounds.WarmUpRate*facts.Bounds.WarmUpOverage + facts.Bounds.WarmUpSlack
	recent := make(map[string][]time.Time)
	// A VM that is cut off from other VMs only learns that a replica is cold from the store and from the replica.
	disturbances := slices.DeleteFunc(slices.Clone(facts.Disturbances), func(disturbance Disturbance) bool { return disturbance.PeersOnly })
	for _, arrival := range slices.SortedStableFunc(slices.Values(facts.Arrivals), earlier) {
		if arrival.ColdSince.IsZero() || arrival.Misdirected || arrival.RequestID == "" {
			continue
		}
		// A replica that starts cold says so with its first entry. One that becomes cold in use needs some time to tell, and a VM that was
		// frozen or cut off may not know yet.
		if arrival.ColdInUse {
			knownSince, inTouch := inTouchSince(disturbances, facts.Requests[arrival.RequestID].VM, arrival.ColdSince, arrival.At)
			if !inTouch || arrival.At.Sub(knownSince) < facts.Bounds.WarmUpNotice {
				continue
			}
		}
		times := append(recent[arrival.Replica], arrival.At)
		for arrival.At.Sub(times[0]) >= coldWindow {
			times = times[1:]
		}
		recent[arrival.Replica] = times
		if float64(len(times)) > bound {
			report.add("COLD", "%s got %d requests within a second while it was cold, the last one is %s", arrival.Replica, len(times), arrival.RequestID)
		}
	}
}

func earlier(a, b swlabusers.Arrival) int {
	return a.At.Compare(b.At)
}
