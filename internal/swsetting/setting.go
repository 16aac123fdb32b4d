// Package swsetting reads the settings file, fills in defaults and checks every field.
package swsetting

import (
	"net/netip"
	"time"
)

// Settings is the whole settings file of one VM. Durations are written as in 250ms, 2s or 1m.
type Settings struct {
	// Name is the VM's name, unique among the VMs of the system.
	Name string `yaml:"Name" validate:"required"`
	// Region is the VM's region.
	Region string `yaml:"Region" validate:"required"`
	// DataCentre is the VM's data centre.
	DataCentre string    `yaml:"DataCentre" validate:"required"`
	Gateway    Gateway   `yaml:"Gateway"`
	Caller     Caller    `yaml:"Caller"`
	Peer       Peer      `yaml:"Peer"`
	Platform   Platform  `yaml:"Platform"`
	Query      Query     `yaml:"Query"`
	Admission  Admission `yaml:"Admission"`
	Member     Member    `yaml:"Member"`
	Stop       Stop      `yaml:"Stop"`
	Log        Log       `yaml:"Log"`
}

// Gateway passes clients' HTTP requests on by the platform's configuration. With an address to listen on, the VM runs the
// gateway in place of the search API, and needs neither Caller nor Peer.
type Gateway struct {
	// Listen is the TCP address for clients.
	Listen netip.AddrPort `yaml:"Listen"`
	// Ready is the TCP address at which the balancer asks whether this VM takes clients.
	Ready netip.AddrPort `yaml:"Ready"`
	// Metrics is the TCP address of /metrics; none when empty.
	Metrics netip.AddrPort `yaml:"Metrics"`
	// Regions maps each data centre to its region.
	Regions map[string]string `yaml:"Regions"`
	// Grace is how long the process may go on after SIGTERM.
	Grace time.Duration `yaml:"Grace"`
	// RepeatRatio is the share of hedges and retries in the requests for a service that all VMs together keep to.
	RepeatRatio float64 `yaml:"RepeatRatio"`
	// RepeatSlack is the number of hedges and retries beyond that share, for all VMs together.
	RepeatSlack float64 `yaml:"RepeatSlack"`
	// RepeatWindow is the time over which RepeatRatio and RepeatSlack hold.
	RepeatWindow time.Duration `yaml:"RepeatWindow"`
	// Capacity is this VM's size beside the others', such as its link in Mbit/s. The larger ones bring changes to the rest.
	Capacity float64 `yaml:"Capacity"`
	// ApplyWithin is how soon a configuration must be in force. Watches for it end after half of that, since one may miss a
	// change and say nothing.
	ApplyWithin time.Duration `yaml:"ApplyWithin"`
	// DrainWithin is how soon a leaving backend server gets nothing new. Watches for servers end after half of that.
	DrainWithin time.Duration `yaml:"DrainWithin"`
	// CallerHeader names the header of a request in which clients give their name, for the rules; empty takes the client's address.
	CallerHeader string `yaml:"CallerHeader"`
	// EntryGrace is how long after an outage of the platform a backend server's missing entry is kept.
	EntryGrace time.Duration `yaml:"EntryGrace"`
}

// Enabled reports whether the VM runs the gateway.
func (gateway *Gateway) Enabled() bool {
	return gateway.Listen.IsValid()
}

// Caller is the HTTP listener for callers.
type Caller struct {
	// Listen is the TCP address for callers.
	Listen netip.AddrPort `yaml:"Listen"`
	TLS    TLS            `yaml:"TLS"`
	// TrustCallerField takes the caller's name from the request where no client certificate gives it.
	TrustCallerField bool `yaml:"TrustCallerField"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `yaml:"MaxBody"`
	// MaxRequests is the number of requests held at once; more are refused.
	MaxRequests int `yaml:"MaxRequests"`
}

// Peer is the QUIC listener for other VMs.
type Peer struct {
	// Listen is the UDP address for other VMs.
	Listen netip.AddrPort `yaml:"Listen"`
	// Advertise is the UDP address that other VMs use; Listen when empty.
	Advertise netip.AddrPort `yaml:"Advertise"`
	TLS       TLS            `yaml:"TLS"`
	// Seeds are peer addresses to ask when the platform's VM list is out of reach at the start.
	Seeds []netip.AddrPort `yaml:"Seeds"`
}

// TLS names PEM files. All empty means no TLS, which only the caller listener may have.
type TLS struct {
	// Certificate is the PEM file of this VM's certificate.
	Certificate string `yaml:"Certificate"`
	// Key is the PEM file of the certificate's private key.
	Key string `yaml:"Key"`
	// CA is the PEM file of the authorities that certificates of the other side must come from.
	CA string `yaml:"CA"`
}

// Platform is the platform's object API.
type Platform struct {
	// URL is the base URL of the object API.
	URL string `yaml:"URL" validate:"required,url"`
	// Timeout bounds a call other than a watch.
	Timeout time.Duration `yaml:"Timeout"`
	// WatchWait is how long a watch waits for a change.
	WatchWait time.Duration `yaml:"WatchWait"`
	// ListEvery is the time between two reads of the VM list by a watcher.
	ListEvery time.Duration `yaml:"ListEvery"`
}

// Query sets how queries are scattered and gathered.
type Query struct {
	// Placement is Owner or Direct.
	Placement string `yaml:"Placement" validate:"oneof=Owner Direct"`
	// DefaultTimeout applies to requests without Timeout.
	DefaultTimeout time.Duration `yaml:"DefaultTimeout"`
	// MaxTimeout caps the Timeout of requests.
	MaxTimeout time.Duration `yaml:"MaxTimeout"`
	// HedgePercent bounds hedges and retries, in percent of sub-requests; zero turns hedging off.
	HedgePercent float64 `yaml:"HedgePercent"`
	// HedgePercentile is the percentile of a shard's latency after which it is hedged.
	HedgePercentile float64 `yaml:"HedgePercentile"`
	// AckTimeout is how long an owner may take to acknowledge a batch.
	AckTimeout time.Duration `yaml:"AckTimeout"`
}

// Admission sets how an owner shares a backend server's slots.
type Admission struct {
	// Shares is the least share of slots that Urgent, Standard and Deferrable work keep, in percent.
	Shares []int `yaml:"Shares"`
	// QueueLimit is the number of sub-requests that may wait for one backend server.
	QueueLimit int `yaml:"QueueLimit"`
	// QueueTarget is the queue wait above which whole queries are shed.
	QueueTarget time.Duration `yaml:"QueueTarget"`
	// ShedByCohort turns shedding of whole queries at the root on.
	ShedByCohort bool `yaml:"ShedByCohort"`
}

// Member sets probing and gossip.
type Member struct {
	// ProbeEvery is the time between two probes.
	ProbeEvery time.Duration `yaml:"ProbeEvery"`
	// ProbeTimeout is how long a probe may take before others are asked to probe.
	ProbeTimeout time.Duration `yaml:"ProbeTimeout"`
	// SuspectFor is how long a suspect may refute before it counts as dead.
	SuspectFor time.Duration `yaml:"SuspectFor"`
}

// Stop sets the graceful stop.
type Stop struct {
	// BalancerWait is how long to keep serving after the VM turned not ready.
	BalancerWait time.Duration `yaml:"BalancerWait"`
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout time.Duration `yaml:"DrainTimeout"`
}

// Log sets the JSON lines on standard output.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"Level" validate:"oneof=debug info warn error"`
}
