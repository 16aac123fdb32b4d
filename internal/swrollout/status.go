// Package swrollout keeps the documents in force, such as the rules and the catalogues, and brings new versions to every VM.
package swrollout

import "time"

// KindStatus names the platform objects that hold one Status each, named by data centre.
const KindStatus = "Status"

// Status is the platform object that a data centre's watchers write. It tells operators which versions are in force
// there.
type Status struct {
	DataCentre string
	// Rules tells which rules the watcher that wrote the status has in force.
	Rules RulesStatus
	// VMs lists the data centre's entry VMs in order of name.
	VMs []VMStatus
	// At is the time of writing.
	At time.Time
}

// RulesStatus tells the rules version in force at a watcher.
type RulesStatus struct {
	Version uint64
}

// VMStatus is one entry VM as a watcher sees it.
type VMStatus struct {
	Name        string
	Incarnation uint64
	// RuleVersion is the rules version that the VM last reported to be in force there, or zero.
	RuleVersion uint64
	// Rejected is the reason why the VM did not put a newer version in force, or empty.
	Rejected string `json:",omitempty"`
	// State is Alive, Suspect or Leaving.
	State string
}
