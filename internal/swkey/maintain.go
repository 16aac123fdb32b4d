package swkey

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// maintain removes expired entries from every table, and drops tables of other issuers that are no longer needed. It does
// so at most once a second.
func (service *Service) maintain() {
	now := time.Now().Unix()
	last := service.lastMaintained.Load()
	if now == last || !service.lastMaintained.CompareAndSwap(last, now) {
		return
	}
	var tables []*keyTable
	service.keyTables.Range(func(_ Issuer, keyTable *keyTable) bool {
		tables = append(tables, keyTable)
		return true
	})
	for _, keyTable := range tables {
		keyTable.removeExpired()
		if keyTable != service.ownTable && keyTable.isObsolete() {
			service.keyTables.Delete(keyTable.issuer)
		}
	}
}

// isObsolete reports whether the table is empty and no key can be used or repeated any more.
func (keyTable *keyTable) isObsolete() bool {
	return keyTable.timeToLive() <= 0 && keyTable.entries.Len() == 0
}

// Status describes the key tables that a VM holds.
type Status struct {
	// Bytes is the memory of all tables, and MaxBytes its limit, beyond which new work is refused with KeyTableFull.
	Bytes    int64
	MaxBytes int64
	// Issuers lists the issuers whose tables this VM holds: itself, and VMs that handed their tables over to it.
	Issuers []IssuerStatus
}

// IssuerStatus describes the keys of one issuer.
type IssuerStatus struct {
	Name string
	// Incarnation is in hexadecimal digits.
	Incarnation string
	// Runs is the number of runs in flight or with a recorded outcome, and Running the number of those in flight.
	Runs    int
	Running int64
	// Until is how much longer the table is needed; zero if no key was issued.
	Until time.Duration
}

// Status returns the state of the active tables that this VM holds, its own first.
func (service *Service) Status() Status {
	service.maintain()
	status := Status{Bytes: service.usedBytes.Load(), MaxBytes: service.config.Limits.MaxBytes}
	service.keyTables.Range(func(_ Issuer, keyTable *keyTable) bool {
		if phase, _ := keyTable.phaseAndSuccessor(); phase == active {
			status.Issuers = append(status.Issuers, keyTable.status())
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

func (keyTable *keyTable) status() IssuerStatus {
	return IssuerStatus{
		Name:        keyTable.issuer.Name,
		Incarnation: strconv.FormatUint(keyTable.issuer.Incarnation, 16),
		Runs:        keyTable.entries.Len(),
		Running:     keyTable.inFlight.Load(),
		Until:       max(keyTable.timeToLive(), 0),
	}
}
