package swkey

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swtable"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Defaults of Limits.
const (
	defaultMaxBytes      = 16 << 20
	defaultMaxOutcome    = 16 << 10
	defaultMaxCount      = 1000
	defaultLifetime      = 10 * time.Minute
	defaultRetention     = 10 * time.Minute
	defaultLocateTimeout = 500 * time.Millisecond
	defaultClaimBucket   = time.Hour
)

// Transport carries one request and one reply to a peer.
type Transport interface {
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
}

// Peer is a VM to ask.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Directory finds VMs.
type Directory interface {
	// Peer returns the address of the VM of that name, and false when none is known to live.
	Peer(name string) (netip.AddrPort, bool)
	// Successors returns the VMs that may take over the keys of the VM of that name, the likeliest first, without that
	// VM and without leaving ones.
	Successors(name string) []Peer
}

// RecordStore holds the records that gossip spreads.
type RecordStore interface {
	Put(record swmember.Record) bool
	Get(topic, key string) (swmember.Record, bool)
}

// Limits bounds what a Service holds and for how long. Zero fields take defaults.
type Limits struct {
	// MaxBytes bounds the memory of all tables together. A run takes MaxOutcome until its outcome is known.
	MaxBytes int64
	// MaxOutcome is the size of the largest reply that is kept for repeats, in bytes.
	MaxOutcome int64
	// MaxCount bounds the keys of one call of Issue.
	MaxCount int
	// Lifetime is how long after issue a run may begin under a key.
	Lifetime time.Duration
	// Retention is how long after a key's expiry its outcome is kept.
	Retention time.Duration
	// LocateTimeout bounds the search for the holder of an issuer's authority.
	LocateTimeout time.Duration
	// ClaimBucket is the least time for which a claim on a caller's own key holds.
	ClaimBucket time.Duration
}

// Config holds what a Service is built from.
type Config struct {
	// Name is this VM's name.
	Name string
	// Incarnation identifies this start of the process; a random one is drawn when zero.
	Incarnation uint64
	// Secret authenticates keys; a random one is drawn when empty.
	Secret    []byte
	Transport Transport
	Directory Directory
	// Records may be nil; successors are then found by asking alone.
	Records RecordStore
	// Claims may be nil; keys of callers' own are then refused.
	Claims ClaimStore
	Limits Limits
	Group  *swgroup.Group
}

// RunRequest is non-idempotent work under a key.
type RunRequest struct {
	Key    string
	Caller string
	// Fingerprint identifies the body; another body under the same key is refused.
	Fingerprint uint64
	// StartBefore is the issuer's clock time from which the run must not begin; zero leaves the context's deadline. Where
	// EndBefore is zero it also ends the run.
	StartBefore time.Duration
	// EndBefore is the issuer's clock time at which a run that was passed on is given up; zero leaves the context's deadline.
	EndBefore time.Duration
	// Body is the encoded request as the executor needs it.
	Body []byte
}

// Executor runs work at the issuer for a request that came to another VM. It must not retry once a byte may have
// reached a backend server.
type Executor func(ctx context.Context, request RunRequest) Outcome

// Service issues keys and runs work under them. Construct it with New.
type Service struct {
	config      Config
	self        Issuer
	authorities *swtable.Table[Issuer, *authority]
	own         *authority
	bytes       atomic.Int64
	located     *swtable.Table[Issuer, location]
	pending     *swtable.Table[Issuer, *pendingHandover]
	// maintained is the Unix time in seconds of the last maintenance.
	maintained atomic.Int64

	executorMutex sync.RWMutex
	executor      Executor
}

// New returns a service that holds the authority of its own issuer. It fails when the VM's name does not fit into a key.
func New(config Config) (*Service, error) {
	if config.Name == "" || len(config.Name) > maxNameSize {
		return nil, errors.Errorf("a VM's name of %d bytes does not fit into a key, which takes 1 to %d", len(config.Name), maxNameSize)
	}
	config.Limits = config.Limits.withDefaults()
	if config.Incarnation == 0 {
		config.Incarnation = randomIncarnation()
	}
	if len(config.Secret) == 0 {
		config.Secret = newSecret()
	}
	service := &Service{
		config:      config,
		self:        Issuer{Name: config.Name, Incarnation: config.Incarnation},
		authorities: swtable.New[Issuer, *authority](),
		located:     swtable.New[Issuer, location](),
		pending:     swtable.New[Issuer, *pendingHandover](),
	}
	service.own = newAuthority(service.self, config.Secret, 0, config.Limits, &service.bytes)
	service.authorities.Put(service.self, service.own)
	return service, nil
}

func (limits Limits) withDefaults() Limits {
	setDefault(&limits.MaxBytes, defaultMaxBytes)
	setDefault(&limits.MaxOutcome, defaultMaxOutcome)
	setDefault(&limits.MaxCount, defaultMaxCount)
	setDefault(&limits.Lifetime, defaultLifetime)
	setDefault(&limits.Retention, defaultRetention)
	setDefault(&limits.LocateTimeout, defaultLocateTimeout)
	setDefault(&limits.ClaimBucket, defaultClaimBucket)
	return limits
}

func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}

func randomIncarnation() uint64 {
	var data [8]byte
	rand.Read(data[:])
	return binary.BigEndian.Uint64(data[:])
}

// SetExecutor sets what runs work that peers pass on. Until then such work is refused as not run.
func (service *Service) SetExecutor(executor Executor) {
	service.executorMutex.Lock()
	defer service.executorMutex.Unlock()
	service.executor = executor
}

// Batch is a set of new keys.
type Batch struct {
	Keys []string
	// Expires is how much longer a run may begin under the keys.
	Expires time.Duration
	// Clock is the issuer's clock when the keys were made.
	Clock time.Duration
}

// Issue returns count new keys. The error is a *swcode.Error.
func (service *Service) Issue(_ context.Context, count int) (Batch, error) {
	if count < 1 || count > service.config.Limits.MaxCount {
		return Batch{}, &swcode.Error{
			Code:    swcode.BadField,
			Field:   "Count",
			Message: "the number of keys is out of bounds",
			Fix:     "ask for 1 to 1000 keys",
		}
	}
	if phase, _ := service.own.current(); phase != active {
		return Batch{}, &swcode.Error{Code: swcode.Leaving, Message: "this VM issues no more keys"}
	}
	batch := Batch{
		Keys:    make([]string, count),
		Expires: service.config.Limits.Lifetime,
		Clock:   service.own.clock.now(),
	}
	for i := range batch.Keys {
		batch.Keys[i] = service.own.issue(service.config.Limits.Lifetime)
	}
	return batch, nil
}

// Bytes returns the memory that the tables take, in bytes.
func (service *Service) Bytes() int64 {
	return service.bytes.Load()
}

// Run runs work under its key at most once: here with execute when this VM holds the issuer's authority, else by passing
// the request on. A repeat gets the recorded outcome. The context's deadline bounds the run and the wait for it.
func (service *Service) Run(ctx context.Context, request RunRequest, execute func(ctx context.Context) Outcome) Outcome {
	if request.Key == "" || len(request.Key) > MaxKeySize {
		return OutcomeFromError(&swcode.Error{
			Code:    swcode.KeyInvalid,
			Field:   "Key",
			Message: "the key is empty or too long",
			Fix:     "take a key from POST /v1/keys, or use one of 1 to 255 bytes",
		})
	}
	if !IsIssued(request.Key) {
		return service.runClaimed(ctx, request, execute)
	}
	return service.runIssued(ctx, request, execute)
}

func (service *Service) runIssued(ctx context.Context, request RunRequest, execute func(ctx context.Context) Outcome) Outcome {
	token, err := ParseToken(request.Key)
	if err != nil {
		return outcomeOfError(err)
	}
	service.maintain()
	authority, held := service.authorities.Get(token.Issuer)
	if !held {
		return service.forward(ctx, token.Issuer, request)
	}
	outcome, moving := service.runHere(ctx, authority, token, request, execute)
	if !moving {
		return outcome
	}
	return service.runMoved(ctx, authority, request)
}

// runHere runs or repeats work under the authority. moving is set when the authority is going to a successor and no run
// began under the key here.
func (service *Service) runHere(ctx context.Context, authority *authority, token Token, request RunRequest, execute func(ctx context.Context) Outcome) (outcome Outcome, moving bool) {
	if !verify(request.Key, authority.secret) {
		return OutcomeFromError(invalidKey("it was not made by its issuer")), false
	}
	if ctx.Err() != nil {
		return refusal(swcode.DeadlineExceeded, swcode.RanUnknown, "the deadline passed before the key was looked up"), false
	}
	begun := authority.begin(token, &request, request.StartBefore)
	if begun.moving {
		return Outcome{}, true
	}
	if begun.entry == nil {
		return begun.refused, false
	}
	if !begun.first {
		return begun.entry.wait(ctx), false
	}
	if request.StartBefore > 0 && request.EndBefore == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.StartBefore-authority.clock.now())
		defer cancel()
	}
	return service.execute(ctx, authority, token, begun.entry, execute), false
}

// execute runs the work in its own goroutine, so that a caller that gives up does not cut it, and waits for its outcome.
// The whole outcome goes to this caller; repeats get what is kept of it.
func (service *Service) execute(ctx context.Context, authority *authority, token Token, entry *entry, execute func(ctx context.Context) Outcome) Outcome {
	whole := make(chan Outcome, 1)
	service.config.Group.Go(func(context.Context) {
		runContext, cancel := detach(ctx)
		defer cancel()
		outcome := protect(runContext, execute)
		whole <- outcome
		authority.finish(token, outcome)
	})
	select {
	case outcome := <-whole:
		<-entry.done
		return outcome
	case <-ctx.Done():
		return inProgress()
	}
}

// detach returns a context with the deadline and values of ctx that does not end when ctx is cancelled.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(detached)
	}
	return context.WithDeadline(detached, deadline)
}

// protect turns a panic of execute into an outcome, so that its entry does not stay in progress for ever.
func protect(ctx context.Context, execute func(ctx context.Context) Outcome) (outcome Outcome) {
	defer func() {
		if recover() != nil {
			outcome = refusal(swcode.Internal, swcode.RanUnknown, "the run failed by a defect")
		}
	}()
	return execute(ctx)
}

// wait returns the recorded outcome once it is known, or RunInProgress when the context ends first.
func (entry *entry) wait(ctx context.Context) Outcome {
	if entry.finished() {
		return entry.outcome
	}
	select {
	case <-entry.done:
		return entry.outcome
	case <-ctx.Done():
		return inProgress()
	}
}

func inProgress() Outcome {
	return refusalForNow(swcode.RunInProgress, swcode.RanUnknown, "the run under this key has not finished")
}

func outcomeOfError(err error) Outcome {
	var refused *swcode.Error
	if !errors.As(err, &refused) {
		return refusal(swcode.Internal, swcode.RanNo, err.Error())
	}
	return OutcomeFromError(refused)
}
