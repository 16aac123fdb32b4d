// Package swrollout rolls out versioned documents, such as the rules and the catalogues. Watchers read new versions from the
// platform, gossip announces them, and the other VMs fetch them from peers.
package swrollout

import "time"

// KindStatus is the kind of the platform objects that hold a Status. Each is named for its data centre.
const KindStatus = "Status"

// Status is the platform object that a data centre's watchers write. It shows operators which versions are in force there.
type Status struct {
	DataCentre string
	// Rules is the version of the rules in force at the watcher that wrote the status.
	Rules RulesStatus
	// VMs holds the data centre's entry VMs, sorted by name.
	VMs []VMStatus
	// At is the time of writing.
	At time.Time
}

// RulesStatus is the version of the rules in force at a watcher.
type RulesStatus struct {
	Version uint64
}

// VMStatus is the status of one entry VM at a watcher.
type VMStatus struct {
	Name        string
	Incarnation uint64
	// RuleVersion is the version of the rules that the VM last reported as in force; it is zero before the first report.
	RuleVersion uint64
	// Rejected is the reason why the VM rejected a newer version; it is empty when there is none.
	Rejected string `json:",omitempty"`
	// State is Alive, Suspect or Leaving.
	State string
}
