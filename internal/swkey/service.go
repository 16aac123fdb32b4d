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

// Transport sends one request to a peer and receives its reply.
type Transport interface {
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
}

// Peer is another VM and its address.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Directory looks up VMs.
type Directory interface {
	// Peer returns the address of the VM of that name, and false if no live one is known.
	Peer(name string) (netip.AddrPort, bool)
	// IsDead reports whether the members have declared the VM of that name dead.
	IsDead(name string) bool
	// Successors returns the VMs that may take over the key tables of the VM of that name, the most likely first. It
	// leaves out that VM and VMs that are leaving.
	Successors(name string) []Peer
}

// RecordStore stores the records that gossip spreads.
type RecordStore interface {
	Put(record swmember.Record) bool
	Get(topic, key string) (swmember.Record, bool)
}

// Limits bounds the memory and the retention of a Service. Zero fields get defaults.
type Limits struct {
	// MaxBytes bounds the memory of all tables together. A run reserves MaxOutcome until its outcome is known.
	MaxBytes int64
	// MaxOutcome bounds the reply that is kept for repeats, in bytes.
	MaxOutcome int64
	// MaxCount bounds the number of keys per call of Issue.
	MaxCount int
	// Lifetime is how long after its issue a run may begin under a key.
	Lifetime time.Duration
	// Retention is how long the outcome under a key is kept after the key's expiry.
	Retention time.Duration
	// LocateTimeout bounds one search for the holder of an issuer's key table.
	LocateTimeout time.Duration
	// ClaimBucket is the width of a claim's time bucket: the shortest time for which a claim on a caller's key holds.
	ClaimBucket time.Duration
}

// Config is the configuration of a Service.
type Config struct {
	// Name is this VM's name.
	Name string
	// Incarnation identifies this start of the process. A random one is generated if it is zero.
	Incarnation uint64
	// Secret authenticates keys. A random one is generated if it is empty.
	Secret    []byte
	Transport Transport
	Directory Directory
	// Records may be nil; successors are then found only by asking VMs.
	Records RecordStore
	// Claims may be nil; keys that callers choose are then refused.
	Claims ClaimStore
	Limits Limits
	Group  *swgroup.Group
}

// RunRequest is a request for non-idempotent work under a key.
type RunRequest struct {
	Key    string
	Caller string
	// Fingerprint identifies the body. A request with another body under the same key is refused.
	Fingerprint uint64
	// StartBefore is the time on the key table's clock from which the run must not begin; if it is zero, only the
	// context's deadline applies. If EndBefore is zero, StartBefore is also the deadline of the run.
	StartBefore time.Duration
	// EndBefore is the deadline of a forwarded run on the key table's clock; if it is zero, only the context's deadline
	// applies.
	EndBefore time.Duration
	// Body is the encoded request for the Executor.
	Body []byte
}

// Executor runs a request that another VM forwarded to the holder of the key table. It must not retry once a byte may have
// reached a backend server.
type Executor func(ctx context.Context, request RunRequest) Outcome

// Service issues keys and runs work under keys at most once. Construct it with New.
type Service struct {
	config    Config
	self      Issuer
	keyTables *swtable.Table[Issuer, *keyTable]
	ownTable  *keyTable
	usedBytes atomic.Int64
	locations *swtable.Table[Issuer, location]
	offers    *swtable.Table[Issuer, *storedOffer]
	// lastMaintained is the Unix time of the last call of maintain that did something, in seconds.
	lastMaintained atomic.Int64

	executorMutex sync.RWMutex
	executor      Executor
}

// New returns a service with an empty key table of its own. It returns an error if the VM's name does not fit into a key.
func New(config Config) (*Service, error) {
	if config.Name == "" || len(config.Name) > maxNameSize {
		return nil, errors.Errorf("VM name has %d bytes, but a key holds a name of 1 to %d bytes", len(config.Name), maxNameSize)
	}
	config.Limits = config.Limits.withDefaults()
	if config.Incarnation == 0 {
		config.Incarnation = randomID()
	}
	if len(config.Secret) == 0 {
		config.Secret = newSecret()
	}
	service := &Service{
		config:    config,
		self:      Issuer{Name: config.Name, Incarnation: config.Incarnation},
		keyTables: swtable.New[Issuer, *keyTable](),
		locations: swtable.New[Issuer, location](),
		offers:    swtable.New[Issuer, *storedOffer](),
	}
	service.ownTable = newKeyTable(service.self, config.Secret, 0, config.Limits, &service.usedBytes)
	service.keyTables.Put(service.self, service.ownTable)
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

func randomID() uint64 {
	var data [8]byte
	rand.Read(data[:])
	return binary.BigEndian.Uint64(data[:])
}

// SetExecutor sets the executor of requests that peers forward. Until then they are refused with NotReady.
func (service *Service) SetExecutor(executor Executor) {
	service.executorMutex.Lock()
	defer service.executorMutex.Unlock()
	service.executor = executor
}

// Batch is a batch of new keys.
type Batch struct {
	Keys []string
	// Expires is how much longer a run may begin under the keys.
	Expires time.Duration
	// Clock is the time on the issuer's clock when the keys were issued.
	Clock time.Duration
}

// Issue returns count new keys. The error is a *swcode.Error.
func (service *Service) Issue(_ context.Context, count int) (Batch, error) {
	if count < 1 || count > service.config.Limits.MaxCount {
		return Batch{}, &swcode.Error{
			Code:    swcode.BadField,
			Ran:     swcode.RanNo,
			Field:   "Count",
			Message: "the number of keys is out of bounds",
			Fix:     "ask for 1 to 1000 keys",
		}
	}
	if phase, _ := service.ownTable.phaseAndSuccessor(); phase != active {
		return Batch{}, &swcode.Error{Code: swcode.Leaving, Ran: swcode.RanNo, Message: "this VM issues no more keys"}
	}
	batch := Batch{
		Keys:    make([]string, count),
		Expires: service.config.Limits.Lifetime,
		Clock:   service.ownTable.clock.now(),
	}
	for i := range batch.Keys {
		batch.Keys[i] = service.ownTable.issue(service.config.Limits.Lifetime)
	}
	return batch, nil
}

// Bytes returns the memory that the tables use or have reserved, in bytes.
func (service *Service) Bytes() int64 {
	return service.usedBytes.Load()
}

// Run runs work under its key at most once: with execute if this VM has the issuer's key table, otherwise by forwarding
// the request to the holder. A repeat gets the recorded outcome. The context's deadline bounds the run and the wait for
// its outcome.
func (service *Service) Run(ctx context.Context, request RunRequest, execute func(ctx context.Context) Outcome) Outcome {
	if request.Key == "" || len(request.Key) > MaxKeySize {
		return OutcomeFromError(&swcode.Error{
			Code:    swcode.KeyInvalid,
			Ran:     swcode.RanNo,
			Field:   "Key",
			Message: "the key is empty or too long",
			Fix:     "take a key from POST /v1/keys, or use one of 1 to 255 bytes",
		})
	}
	if !IsIssued(request.Key) {
		return service.runUnderCallerKey(ctx, request, execute)
	}
	return service.runUnderIssuedKey(ctx, request, execute)
}

// runUnderIssuedKey runs work locally if this VM has the issuer's key table, and otherwise at the holder of the table.
func (service *Service) runUnderIssuedKey(ctx context.Context, request RunRequest, execute func(ctx context.Context) Outcome) Outcome {
	token, err := ParseToken(request.Key)
	if err != nil {
		return outcomeFromAnyError(err)
	}
	service.maintain()
	keyTable, held := service.keyTables.Get(token.Issuer)
	if !held {
		return service.forward(ctx, token.Issuer, request)
	}
	outcome, handingOver := service.runLocally(ctx, keyTable, token, request, execute)
	if !handingOver {
		return outcome
	}
	return service.runAfterHandover(ctx, keyTable, request)
}

// runLocally runs the work or returns the recorded outcome. handingOver is true if the table is not active and has no run
// under the key.
func (service *Service) runLocally(ctx context.Context, keyTable *keyTable, token Token, request RunRequest, execute func(ctx context.Context) Outcome) (outcome Outcome, handingOver bool) {
	if !verify(request.Key, keyTable.secret) {
		return OutcomeFromError(invalidKey("the key's authentication code is invalid")), false
	}
	if ctx.Err() != nil {
		return refusal(swcode.DeadlineExceeded, swcode.RanUnknown, "the deadline passed before the key was looked up"), false
	}
	beginResult := keyTable.begin(token, &request, request.StartBefore)
	if beginResult.handingOver {
		return Outcome{}, true
	}
	if beginResult.entry == nil {
		return beginResult.refusal, false
	}
	if !beginResult.isNew {
		return beginResult.entry.wait(ctx), false
	}
	if request.StartBefore > 0 && request.EndBefore == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.StartBefore-keyTable.clock.now())
		defer cancel()
	}
	return service.execute(ctx, keyTable, token, beginResult.entry, execute), false
}

// execute runs the work in its own goroutine, so that it continues when the caller gives up, and waits for its outcome.
// This caller gets the full outcome; repeats get the recorded one, whose reply may be dropped for its size.
func (service *Service) execute(ctx context.Context, keyTable *keyTable, token Token, entry *entry, execute func(ctx context.Context) Outcome) Outcome {
	fullOutcomes := make(chan Outcome, 1)
	service.config.Group.Go(func(context.Context) {
		runContext, cancel := withoutCancel(ctx)
		defer cancel()
		outcome := recoverPanic(runContext, execute)
		fullOutcomes <- outcome
		keyTable.finish(token, outcome)
	})
	select {
	case outcome := <-fullOutcomes:
		<-entry.done
		return outcome
	case <-ctx.Done():
		return runInProgress()
	}
}

// withoutCancel returns a context with the deadline and values of ctx that is not cancelled with ctx.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(detached)
	}
	return context.WithDeadline(detached, deadline)
}

// recoverPanic calls execute and turns a panic into an outcome, so that the entry does not stay unfinished.
func recoverPanic(ctx context.Context, execute func(ctx context.Context) Outcome) (outcome Outcome) {
	defer func() {
		if recover() != nil {
			outcome = refusal(swcode.Internal, swcode.RanUnknown, "the run panicked")
		}
	}()
	return execute(ctx)
}

// wait returns the outcome once it is recorded, or RunInProgress if the context ends first.
func (entry *entry) wait(ctx context.Context) Outcome {
	if entry.finished() {
		return entry.outcome
	}
	select {
	case <-entry.done:
		return entry.outcome
	case <-ctx.Done():
		return runInProgress()
	}
}

func runInProgress() Outcome {
	return temporaryRefusal(swcode.RunInProgress, swcode.RanUnknown, "the run under this key has not finished")
}

func outcomeFromAnyError(err error) Outcome {
	var refused *swcode.Error
	if !errors.As(err, &refused) {
		return refusal(swcode.Internal, swcode.RanNo, err.Error())
	}
	return OutcomeFromError(refused)
}
