package swapp

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swkey"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/internal/swrollout"
)

// maxJoinWait bounds how long a VM stays not ready because no other VM answers it, which is when all VMs were lost at once. It
// leaves room for three rounds of joining. A VM that served before it knows the others would refuse resends under their keys.
const maxJoinWait = 2 * time.Second

// vmState reports whether the VM is ready and describes its state to operators.
type vmState struct {
	config     Config
	started    time.Time
	leaving    atomic.Bool
	rules      *activeRules
	registry   *swindex.Registry
	directory  *swmember.Directory
	store      *swrollout.Store
	quarantine *swquarantine.Tracker
	pool       *swbackend.Pool
	keys       *swkey.Service
}

func newVMState(config Config, rules *activeRules, registry *swindex.Registry, directory *swmember.Directory, store *swrollout.Store,
	quarantine *swquarantine.Tracker, pool *swbackend.Pool, keys *swkey.Service,
) *vmState {
	return &vmState{
		config:     config,
		started:    time.Now(),
		rules:      rules,
		registry:   registry,
		directory:  directory,
		store:      store,
		quarantine: quarantine,
		pool:       pool,
		keys:       keys,
	}
}

// Reasons why a VM is not ready.
var (
	errLeaving     = errors.New("this VM is leaving")
	errNoRules     = errors.New("no rules are in force on this VM yet: neither the platform nor a peer has given any")
	errNoServers   = errors.New("no backend servers are known on this VM yet: neither the platform nor a peer has given any")
	errNoConfig    = errors.New("no configuration is in force on this VM yet: the platform has given none")
	errNotJoined   = errors.New("this VM has not exchanged records with another VM since it started")
	errNoCatalogue = errors.New("no catalogue is known on this VM yet: neither the platform nor a peer has given any")
)

// CheckReady returns nil if the VM is ready, or the reason why it is not.
func (vmState *vmState) CheckReady() error {
	if vmState.leaving.Load() {
		return errLeaving
	}
	if !vmState.directory.Joined() && time.Since(vmState.started) < maxJoinWait {
		return errNotJoined
	}
	if _, _, ok := vmState.rules.Current(); !ok {
		return errNoRules
	}
	if vmState.registry.IndexCount() == 0 {
		return errNoCatalogue
	}
	if len(vmState.registry.Servers().All()) == 0 {
		return errNoServers
	}
	return nil
}

// setLeaving makes the VM not ready. It can't be undone.
func (vmState *vmState) setLeaving() {
	vmState.leaving.Store(true)
}

// Status is the reply of /v1/status.
type Status struct {
	Name        string
	Version     string
	Region      string
	DataCentre  string
	Incarnation uint64
	Started     time.Time
	Ready       bool
	Reason      string `json:",omitempty"`
	RuleVersion uint64
	Documents   []swrollout.DocumentStatus
	Members     []MemberStatus
	// Contacts holds, for each data centre, the time at which a member of it last answered this VM.
	Contacts map[string]time.Time
	// Draining lists the backend servers that accept no new work.
	Draining []string
	// Servers describes the backend servers that this VM sends to.
	Servers []swbackend.ServerStatus
	// Quarantine lists the request fingerprints that are suspect or quarantined.
	Quarantine []swquarantine.Suspect
	// Keys describes the idempotency keys whose runs this VM records.
	Keys swkey.Status
}

// MemberStatus is the state of one VM in this VM's view.
type MemberStatus struct {
	Name        string
	DataCentre  string
	Incarnation uint64
	State       string
	Peer        string
	Caller      string
}

// Status returns the state of the VM for operators.
func (vmState *vmState) Status() Status {
	view := vmState.directory.View()
	_, version, _ := vmState.rules.Current()
	status := Status{
		Name:        view.Self.Name,
		Version:     vmState.config.Version,
		Region:      view.Self.Region,
		DataCentre:  view.Self.DataCentre,
		Incarnation: view.Self.Incarnation,
		Started:     vmState.started,
		Ready:       true,
		RuleVersion: version,
		Documents:   vmState.store.Status(),
		Contacts:    vmState.directory.LastContacts(),
		Draining:    vmState.registry.DrainingServers(),
		Servers:     vmState.pool.Status(),
		Quarantine:  vmState.quarantine.Suspects(),
		Keys:        vmState.keys.Status(),
	}
	if err := vmState.CheckReady(); err != nil {
		status.Ready, status.Reason = false, err.Error()
	}
	for _, dataCentre := range view.DataCentres() {
		for _, member := range view.Members(dataCentre) {
			status.Members = append(status.Members, memberStatus(member))
		}
	}
	return status
}

func memberStatus(member swmember.Member) MemberStatus {
	return MemberStatus{
		Name:        member.Name,
		DataCentre:  member.DataCentre,
		Incarnation: member.Incarnation,
		State:       member.State.String(),
		Peer:        member.Peer.String(),
		Caller:      member.Caller.String(),
	}
}
