package swkey

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// maintain frees the memory of expired runs in every table, and drops authorities of other issuers that have nothing to
// tell any more. It does so at most once a second.
func (service *Service) maintain() {
	now := time.Now().Unix()
	last := service.maintained.Load()
	if now == last || !service.maintained.CompareAndSwap(last, now) {
		return
	}
	var held []*authority
	service.authorities.Range(func(_ Issuer, authority *authority) bool {
		held = append(held, authority)
		return true
	})
	for _, authority := range held {
		authority.purge()
		if authority != service.own && authority.over() {
			service.authorities.Delete(authority.issuer)
		}
	}
}

// over reports whether the authority has nothing to tell and its table is empty.
func (authority *authority) over() bool {
	return authority.useful() <= 0 && authority.entries.Len() == 0
}

// Status describes the keys that a VM answers for.
type Status struct {
	// Bytes is the memory of all tables, and MaxBytes its limit: beyond it new work is refused with KeyTableFull.
	Bytes    int64
	MaxBytes int64
	// Issuers lists the issuers whose keys run at this VM: itself, and VMs that handed over to it.
	Issuers []IssuerStatus
}

// IssuerStatus describes the keys of one issuer.
type IssuerStatus struct {
	Name string
	// Incarnation is written in hexadecimal digits.
	Incarnation string
	// Runs is the number of runs whose outcome is kept or awaited, and Running the number of those in flight.
	Runs    int
	Running int64
	// Until is how much longer the keys are of use; zero when none was issued.
	Until time.Duration
}

// Status returns the state of the keys that this VM answers for, its own first.
func (service *Service) Status() Status {
	service.maintain()
	status := Status{Bytes: service.bytes.Load(), MaxBytes: service.config.Limits.MaxBytes}
	service.authorities.Range(func(_ Issuer, authority *authority) bool {
		if phase, _ := authority.current(); phase == active {
			status.Issuers = append(status.Issuers, authority.status())
		}
		return true
	})
	slices.SortFunc(status.Issuers, func(a, b IssuerStatus) int {
		if (a.Name == service.self.Name) != (b.Name == service.self.Name) {
			if a.Name == service.self.Name {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name+a.Incarnation, b.Name+b.Incarnation)
	})
	return status
}

func (authority *authority) status() IssuerStatus {
	return IssuerStatus{
		Name:        authority.issuer.Name,
		Incarnation: strconv.FormatUint(authority.issuer.Incarnation, 16),
		Runs:        authority.entries.Len(),
		Running:     authority.running.Load(),
		Until:       max(authority.useful(), 0),
	}
}
