package swlimit

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

const (
	// arrivalTime is the time from a request within which its reply must arrive, so that uses on their way stay few.
	arrivalTime = 250 * time.Millisecond
	// maxLoanTime and minLoanTime bound how long borrowed uses are valid, from the request on.
	maxLoanTime = time.Second
	minLoanTime = 100 * time.Millisecond
	// loanFraction is the fraction of the stock that is left unused for loans: uses that are lent are replaced while the loans are valid.
	loanFraction = 0.25
	// windowLoanFraction is the validity of loans of a limit with a window, as a fraction of it, but for
	// arrivalTime at least: a loan blocks a use for that much longer.
	windowLoanFraction = 0.1
	// startFraction is the fraction of the margin that the processes of all VMs have when they start, together. With half of the margin
	// in the stock, every VM may start three times within a window.
	startFraction = 1.0 / 6
	// reserveFraction is the fraction of the stock that is placed as single uses at VMs which then decide without a message.
	reserveFraction = 2.0 / 3
	// holderStock is the least stock of the holders of a data centre that has several, and minHolderStock that of any, in uses. A smaller one
	// is full before it is asked again, and its rate is lost.
	holderStock    = 4
	minHolderStock = 2
	// maxLenders bounds the VMs that are asked for a key, and maxReserveLenders those of them that are not holders.
	maxLenders        = 96
	maxReserveLenders = 24
)

// share is a VM's part of a limit. It depends only on the limit and on the registry.
type share struct {
	// rate and stock are the parameters of the own token bucket, which is zero at VMs that are not holders.
	rate, stock float64
	// reserve is the number of whole uses that this VM may keep.
	reserve int
	// start is the number of uses that a new process has.
	start float64
	// loanTime is the validity of loans, and arrivalTime that of replies. Loans are not possible if they are zero.
	loanTime    time.Duration
	arrivalTime time.Duration
	// lenders holds the other VMs that may have uses to lend, in the order in which they are asked.
	lenders []lender
}

// lender is a VM that may lend.
type lender struct {
	member swmember.Member
	// holder is set for VMs with an own bucket. The others lend a reserve that they do not use.
	holder bool
	// distance and order are the sort keys.
	distance int
	order    uint64
}

// The distances of lenders; notHolder is added for those that are not holders.
const (
	sameDataCentre = iota
	sameRegion
	elsewhere
	notHolder
)

// refresh computes the shares that are not up to date. It releases the mutex between keys, as a share takes a fraction of a millisecond to
// compute on a small VM.
func (pool *Pool) refresh(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if !pool.stale && (pool.layout == nil || pool.layout.view == pool.config.View()) {
		return
	}
	pool.stale = false
	for _, key := range slices.Collect(maps.Keys(pool.buckets)) {
		if bucket, ok := pool.buckets[key]; ok {
			pool.computeShare(key, bucket, now)
		}
		pool.mutex.Unlock()
		pool.mutex.Lock()
	}
}

// updateShare makes the share of a bucket follow the registry and the limit. While Run runs, it leaves that to Run: the first request of a VM
// needs the shares of all services of a search, which took 20 ms of the request's time on a small VM. The caller holds the mutex.
func (pool *Pool) updateShare(key string, bucket *bucket, now time.Time) {
	if !pool.running {
		pool.computeShare(key, bucket, now)
		return
	}
	if view := pool.config.View(); view != nil && view != bucket.view {
		pool.stale = true
		pool.wakeRun()
	}
}

// computeShare computes the share of a bucket if the registry or the limit have changed. The caller holds the mutex.
func (pool *Pool) computeShare(key string, bucket *bucket, now time.Time) {
	if pool.config.View == nil {
		vms := float64(max(1, pool.config.VMs()))
		bucket.setShare(now, pool.firstReturn(bucket.limit, share{}), share{rate: bucket.limit.Rate / vms, stock: (bucket.limit.Burst + bucket.limit.Margin/2) / vms})
		bucket.started = true
		return
	}
	view := pool.config.View()
	if view == nil || view == bucket.view {
		return
	}
	if pool.layout == nil || pool.layout.view != view {
		pool.layout = newLayout(view)
	}
	next := newShare(pool.layout, key, bucket.limit)
	bucket.setShare(now, pool.firstReturn(bucket.limit, next), next)
	bucket.view = view
	bucket.emptyUntil = make([]time.Time, len(bucket.share.lenders))
	if !bucket.started && bucket.limit.Window == 0 {
		bucket.tokens = min(bucket.share.start, bucket.share.stock)
	}
	bucket.started = true
}

// firstReturn returns when the first share of a limit with a window can be used. A former process may have spent or lent it until this one
// started.
func (pool *Pool) firstReturn(limit Limit, share share) time.Time {
	if pool.config.IsNew() {
		return pool.startedAt.Add(settleTime)
	}
	return pool.startedAt.Add(share.loanTime + limit.Window)
}

// settleTime is the time after the start of new VMs in which they learn of each other. Until then, each takes too much for its share.
const settleTime = 3 * time.Second

// setShare replaces the share. firstReturn is when the first share can be used.
func (bucket *bucket) setShare(now, firstReturn time.Time, share share) {
	// The time before the share changed counts at the lower of both rates.
	if elapsed := now.Sub(bucket.filledAt); elapsed > 0 {
		bucket.tokens += min(bucket.share.rate, share.rate) * elapsed.Seconds()
		bucket.filledAt = now
	}
	former := bucket.share
	bucket.share = share
	if bucket.limit.Window == 0 {
		bucket.returns, bucket.outstanding = nil, 0
		return
	}
	// What this VM has in addition was another VM's, or that of its former process, which may have lent it a moment ago.
	bucket.tokens = max(0, share.stock-float64(bucket.outstanding))
	returnAt := now.Add(share.loanTime + bucket.limit.Window)
	if !bucket.started {
		returnAt = firstReturn
	}
	if added := int(share.stock - former.stock); added > 0 && returnAt.After(now) {
		bucket.deduct(added, returnAt)
	}
}

// division is how a limit is divided into the stock of holders, single reserved uses, and what must stay unused for loans.
type division struct {
	holders, reserves     float64
	loanTime, arrivalTime time.Duration
}

// divide divides the stock of a limit. Uses that are on their way or lent were deducted from a holder within loanTime, or from a reserve
// within loanTime, which a holder had filled up to arrivalTime before. Within these times the holders get new ones by the rate.
func divide(limit Limit, vms, dataCentres int) division {
	stock := limit.Burst + limit.Margin/2
	result := division{loanTime: maxLoanTime}
	if limit.Rate > 0 {
		result.loanTime = min(maxLoanTime, max(minLoanTime, seconds(loanFraction*stock/limit.Rate)))
	}
	result.arrivalTime = min(arrivalTime, result.loanTime)
	stock -= limit.Rate * (result.loanTime + result.arrivalTime).Seconds()
	if stock < 1 {
		// Without loans, one holder uses the limit by itself.
		return division{holders: limit.Burst + limit.Margin/2}
	}
	// Each data centre has a holder if that is possible.
	holders := max(stock*(1-reserveFraction), min(stock, minHolderStock*float64(dataCentres)))
	result.reserves = math.Floor(min(stock-holders, float64(vms)))
	result.holders = stock - result.reserves
	return result
}

// layout is what all keys share of a view.
type layout struct {
	view        *swmember.View
	dataCentres []dataCentre
	members     []swmember.Member
}

// dataCentre is a data centre with its VMs in rendezvous order for holderKey.
type dataCentre struct {
	name    string
	members []swmember.Member
}

const (
	// holderKey is the rendezvous key that selects the VMs of a data centre that may be holders. Few VMs are, for any key, because a
	// connection costs 17.6 KB to open.
	holderKey = "limits"
	// minGroup is the least number of VMs that may be holders in a data centre, and borrowersPerHolder the number of VMs for which there
	// is one more: a reply takes about 0.1 ms of processor time, and each VM asks up to askRate times a second.
	minGroup           = 4
	borrowersPerHolder = 16
)

func newLayout(view *swmember.View) *layout {
	layout := &layout{view: view}
	for _, name := range view.DataCentres() {
		members := view.Members(name)
		layout.dataCentres = append(layout.dataCentres, dataCentre{name: name, members: rank(members, holderKey)})
		layout.members = append(layout.members, members...)
	}
	return layout
}

// group returns the number of VMs of the data centre that may be holders.
func (dataCentre *dataCentre) group() int {
	return min(len(dataCentre.members), max(minGroup, len(dataCentre.members)/borrowersPerHolder))
}

// holders returns the first count holders of a key in the data centre.
func (dataCentre *dataCentre) holders(key string, count int) []swmember.Member {
	return rank(dataCentre.members[:dataCentre.group()], key)[:count]
}

// byRegion returns the data centres in rendezvous order of a key, the first of each region before all others.
func (layout *layout) byRegion(key string) []dataCentre {
	dataCentres := slices.Clone(layout.dataCentres)
	slices.SortFunc(dataCentres, func(a, b dataCentre) int { return cmp.Compare(score(a.name, key), score(b.name, key)) })
	place, placeOf := make(map[string]int), make(map[string]int)
	for _, dataCentre := range dataCentres {
		placeOf[dataCentre.name] = place[dataCentre.region()]
		place[dataCentre.region()]++
	}
	slices.SortStableFunc(dataCentres, func(a, b dataCentre) int { return cmp.Compare(placeOf[a.name], placeOf[b.name]) })
	return dataCentres
}

// fractions returns the fraction of a limit's rate that belongs to each of the data centres with holders: that of its region's VMs, divided over
// the region's data centres with holders.
func (layout *layout) fractions(dataCentres []dataCentre) []float64 {
	inRegion, served := make(map[string]int), make(map[string]int)
	for _, member := range layout.members {
		inRegion[member.Region]++
	}
	total := 0
	for _, dataCentre := range dataCentres {
		if served[dataCentre.region()] == 0 {
			total += inRegion[dataCentre.region()]
		}
		served[dataCentre.region()] += len(dataCentre.members)
	}
	fractions := make([]float64, len(dataCentres))
	for i, dataCentre := range dataCentres {
		region := dataCentre.region()
		fractions[i] = float64(inRegion[region]) / float64(total) * float64(len(dataCentre.members)) / float64(served[region])
	}
	return fractions
}

// region returns the region of the data centre's VMs.
func (dataCentre *dataCentre) region() string {
	return dataCentre.members[0].Region
}

// newShare returns the share of the view's own VM.
func newShare(layout *layout, key string, limit Limit) share {
	if limit.Window > 0 {
		return newWindowShare(layout, key, limit)
	}
	self := layout.view.Self
	division := divide(limit, len(layout.members), len(layout.dataCentres))
	share := share{loanTime: division.loanTime, arrivalTime: division.arrivalTime}
	// A limit of less than minHolderStock for each data centre is held by fewer, in all regions if possible.
	dataCentres := layout.byRegion(key)
	dataCentres = dataCentres[:min(len(dataCentres), max(1, int(division.holders/minHolderStock)))]
	fractions := layout.fractions(dataCentres)
	isHolder := make(map[string]bool)
	for i, dataCentre := range dataCentres {
		fraction := fractions[i]
		count := min(dataCentre.group(), max(1, int(division.holders*fraction/holderStock)))
		for _, member := range dataCentre.holders(key, count) {
			isHolder[member.Name] = true
			share.lenders = append(share.lenders, lender{member: member, holder: true})
			if member.Name == self.Name {
				share.rate = limit.Rate * fraction / float64(count)
			}
		}
	}
	// Every holder has the same stock: a data centre with few VMs would otherwise have less than one use.
	if isHolder[self.Name] {
		share.stock = division.holders / float64(len(isHolder))
		share.start = startFraction * limit.Margin / float64(len(isHolder))
	}
	share.addReserves(layout, key, isHolder, int(division.reserves))
	if share.loanTime == 0 {
		share.lenders = nil
	}
	share.sortLenders(self, key)
	return share
}

// newWindowShare returns the share of a limit with a window: each VM has whole uses, as many as the others or one more. They come back a window
// after they were used, or, if they were lent, after the loan expired; so the sum of all stocks bounds the uses in any window.
func newWindowShare(layout *layout, key string, limit Limit) share {
	self := layout.view.Self
	share := share{loanTime: max(min(arrivalTime, limit.Window/2), time.Duration(windowLoanFraction*float64(limit.Window)))}
	share.arrivalTime = min(arrivalTime, share.loanTime)
	total, vms := int(limit.Burst+tokenEpsilon), len(layout.members)
	hasOneMore := make(map[string]bool, total%vms)
	for _, member := range rank(layout.members, key)[:total%vms] {
		hasOneMore[member.Name] = true
	}
	share.stock = float64(total / vms)
	if hasOneMore[self.Name] {
		share.stock++
	}
	for _, dataCentre := range layout.dataCentres {
		members := dataCentre.members
		if dataCentre.name != self.DataCentre && vms > maxLenders {
			// Connections to all VMs of other data centres would cost more than the uses that they have. Each VM asks others, and the same ones for
			// all keys.
			members = rank(members, self.Name)[:dataCentre.group()]
		}
		for _, member := range members {
			if total >= vms || hasOneMore[member.Name] {
				share.lenders = append(share.lenders, lender{member: member, holder: true})
			}
		}
	}
	share.sortLenders(self, key)
	return share
}

// addReserves places single uses at the first VMs by rendezvous hash that are not holders, then at holders.
func (share *share) addReserves(layout *layout, key string, isHolder map[string]bool, reserves int) {
	if reserves == 0 {
		return
	}
	var ranked, holders []swmember.Member
	for _, member := range rank(layout.members, key) {
		if isHolder[member.Name] {
			holders = append(holders, member)
		} else {
			ranked = append(ranked, member)
		}
	}
	ranked = append(ranked, holders...)
	for _, member := range ranked[:min(len(ranked), reserves)] {
		if member.Name == layout.view.Self.Name {
			share.reserve = 1
		}
		if !isHolder[member.Name] {
			share.lenders = append(share.lenders, lender{member: member})
		}
	}
}

// sortLenders orders the lenders: holders of the own data centre, of the region, and elsewhere, then reserves likewise. Each VM has its own
// order among equals.
func (share *share) sortLenders(self swmember.Member, key string) {
	share.lenders = slices.DeleteFunc(share.lenders, func(lender lender) bool { return lender.member.Name == self.Name })
	for i := range share.lenders {
		lender := &share.lenders[i]
		lender.order = score(lender.member.Name, key+"/"+self.Name)
		switch {
		case lender.member.DataCentre == self.DataCentre:
			lender.distance = sameDataCentre
		case lender.member.Region == self.Region:
			lender.distance = sameRegion
		default:
			lender.distance = elsewhere
		}
		if !lender.holder {
			lender.distance += notHolder
		}
	}
	slices.SortFunc(share.lenders, func(a, b lender) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.order, b.order))
	})
	holders := slices.IndexFunc(share.lenders, func(lender lender) bool { return !lender.holder })
	if holders >= 0 {
		share.lenders = share.lenders[:min(len(share.lenders), holders+maxReserveLenders)]
	}
	share.lenders = share.lenders[:min(len(share.lenders), maxLenders)]
}

// rank returns the members in rendezvous order.
func rank(members []swmember.Member, key string) []swmember.Member {
	type scored struct {
		score uint64
		index int
	}
	order := make([]scored, len(members))
	for i := range members {
		order[i] = scored{score(members[i].Name, key), i}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(members[a.index].Name, members[b.index].Name))
	})
	ranked := make([]swmember.Member, len(members))
	for i := range order {
		ranked[i] = members[order[i].index]
	}
	return ranked
}

// score returns a hash of a name and a key. The multiplications and shifts are the finalizer of SplitMix64.
func score(name, key string) uint64 {
	hash := xxhash.Sum64String(name) ^ bits.RotateLeft64(xxhash.Sum64String(key), 1)
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}
