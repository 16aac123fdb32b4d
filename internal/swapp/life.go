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

// lifeState tells whether the VM serves, and describes it to operators.
type lifeState struct {
	config     Config
	started    time.Time
	leaving    atomic.Bool
	rules      *ruleBook
	registry   *swindex.Registry
	directory  *swmember.Directory
	store      *swrollout.Store
	quarantine *swquarantine.Tracker
	pool       *swbackend.Pool
	keys       *swkey.Service
}

func newLifeState(config Config, rules *ruleBook, registry *swindex.Registry, directory *swmember.Directory, store *swrollout.Store,
	quarantine *swquarantine.Tracker, pool *swbackend.Pool, keys *swkey.Service,
) *lifeState {
	return &lifeState{
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
	errNoCatalogue = errors.New("no catalogue is known on this VM yet: neither the platform nor a peer has given any")
)

// Ready returns nil when the VM serves, or the reason why not.
func (lifeState *lifeState) Ready() error {
	if lifeState.leaving.Load() {
		return errLeaving
	}
	if _, _, ok := lifeState.rules.Current(); !ok {
		return errNoRules
	}
	if lifeState.registry.IndexCount() == 0 {
		return errNoCatalogue
	}
	if len(lifeState.registry.Servers().All()) == 0 {
		return errNoServers
	}
	return nil
}

// leave turns the VM not ready for good.
func (lifeState *lifeState) leave() {
	lifeState.leaving.Store(true)
}

// Status is what /v1/status shows.
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
	// Contacts tells, by data centre, when a member of it last answered this VM.
	Contacts map[string]time.Time
	// Draining names backend servers that take no new work.
	Draining []string
	// Servers describes the backend servers that this VM sends to.
	Servers []swbackend.ServerStatus
	// Quarantine lists suspect and refused fingerprints.
	Quarantine []swquarantine.Suspect
	// Keys describes the keys of non-idempotent work that this VM answers for.
	Keys swkey.Status
}

// MemberStatus is one VM as this VM sees it.
type MemberStatus struct {
	Name        string
	DataCentre  string
	Incarnation uint64
	State       string
	Peer        string
	Caller      string
}

// Status describes the VM.
func (lifeState *lifeState) Status() Status {
	view := lifeState.directory.View()
	_, version, _ := lifeState.rules.Current()
	status := Status{
		Name:        view.Self.Name,
		Version:     lifeState.config.Version,
		Region:      view.Self.Region,
		DataCentre:  view.Self.DataCentre,
		Incarnation: view.Self.Incarnation,
		Started:     lifeState.started,
		Ready:       true,
		RuleVersion: version,
		Documents:   lifeState.store.Status(),
		Contacts:    lifeState.directory.LastContacts(),
		Draining:    lifeState.registry.DrainingServers(),
		Servers:     lifeState.pool.Status(),
		Quarantine:  lifeState.quarantine.Suspects(),
		Keys:        lifeState.keys.Status(),
	}
	if err := lifeState.Ready(); err != nil {
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
