package swedit

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// staleReads is the number of reads in a row that may return a version lower than the one edited before that version is
// taken to be wrong.
const staleReads = 8

// Store is the part of the platform that an Editor needs.
type Store interface {
	Get(ctx context.Context, kind, name string) (swplatform.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (swplatform.Object, error)
	Update(ctx context.Context, kind, name string, version uint64, value []byte) (swplatform.Object, error)
}

// Config holds what an Editor is built from.
type Config struct {
	Store Store
	// Backoff spaces out retries.
	Backoff swplatform.BackoffConfig
}

// Editor applies edits of the rules.
type Editor struct {
	config Config
}

// New returns an Editor.
func New(config Config) *Editor {
	return &Editor{config: config}
}

// Request is an edit that an operator asks for.
type Request struct {
	// Text is the new rule file. Its first line may name a version; it is stored with the version that it becomes.
	Text string
	// Base is the version that the operator edited, or zero to make the object.
	Base uint64
	// By names the operator.
	By string
}

// Result tells what came of an edit that is accepted.
type Result struct {
	EditID string
	// Version is the version that the edit made. Unchanged edits give the version that already holds the text.
	Version uint64
	// Current is the version at the platform when the outcome was known.
	CurrentVersion uint64
	// Unchanged means that the rules were the same already and nothing was written.
	Unchanged bool
	// Settled means that an answer was lost, or an earlier process wrote the edit, and the edit was found by its ID.
	FoundByID bool
}

// Apply makes the edit on condition that the rules are still at the version that the operator edited. It retries until ctx
// ends. It returns a *RaceError, *UnknownError or *UnavailableError, or the platform's own error when that rejects the text.
func (editor *Editor) Apply(ctx context.Context, request Request) (Result, error) {
	attempt := &attempt{
		store:   editor.config.Store,
		request: request,
		id:      EditID(request.Base, request.By, request.Text),
		at:      time.Now(),
	}
	backoff := swplatform.NewBackoff(editor.config.Backoff)
	for {
		result, err := attempt.step(ctx)
		if err == nil {
			return result, nil
		}
		if !retryable(err) {
			return Result{}, attempt.final(err)
		}
		if ctx.Err() == nil || attempt.last == nil {
			attempt.last = err
		}
		if backoff.Wait(ctx) != nil {
			return Result{}, attempt.giveUp()
		}
	}
}

// attempt is the state of one call of Apply.
type attempt struct {
	store   Store
	request Request
	id      string
	at      time.Time
	// uncertain is set once the answer to a write was lost.
	uncertain bool
	// stale counts the reads in a row with a version lower than the one edited.
	stale int
	// last is the failure before the present retry.
	last error
}

// current is what a read found.
type current struct {
	version  uint64
	document Document
	// bad is set when the object at the platform can't be decoded.
	bad error
}

// errRetry asks for another read.
var errRetry = errors.New("reads at the platform lag behind writes")

// step reads the rules once, and writes them where they are at the version edited.
func (attempt *attempt) step(ctx context.Context) (Result, error) {
	current, err := attempt.read(ctx)
	if err != nil {
		return Result{}, err
	}
	if result, ok := attempt.settled(current); ok {
		return result, nil
	}
	switch {
	case current.version == attempt.request.Base:
		attempt.stale = 0
		return attempt.write(ctx, current)
	case current.version < attempt.request.Base:
		return Result{}, attempt.behind(current)
	default:
		return Result{}, attempt.overtaken(current)
	}
}

func (attempt *attempt) read(ctx context.Context) (current, error) {
	object, err := attempt.store.Get(ctx, KindRules, NameMain)
	if errors.Is(err, swplatform.ErrNotFound) {
		return current{}, nil
	}
	if err != nil {
		return current{}, err
	}
	document, err := DecodeDocument(object.Value)
	return current{version: object.Version, document: document, bad: err}, nil
}

// settled looks for the edit, or for the same rules, in what a read found.
func (attempt *attempt) settled(current current) (Result, bool) {
	if position := current.document.position(attempt.id); position >= 0 {
		version := attempt.request.Base + 1
		if attempt.request.Base == 0 {
			// An object made anew goes on from the versions of the one deleted, so count back from the newest edit.
			version = current.version - uint64(position)
		}
		return Result{EditID: attempt.id, Version: version, CurrentVersion: current.version, FoundByID: true}, true
	}
	same := current.version >= max(attempt.request.Base, 1) && current.bad == nil &&
		StripHeader(current.document.Text) == StripHeader(attempt.request.Text)
	if same && !attempt.uncertain {
		return Result{EditID: attempt.id, Version: current.version, CurrentVersion: current.version, Unchanged: true}, true
	}
	return Result{}, false
}

func (attempt *attempt) write(ctx context.Context, current current) (Result, error) {
	base := attempt.request.Base
	text := updateHeader(attempt.request.Text, base+1)
	edit := Edit{ID: attempt.id, By: attempt.request.By, At: attempt.at, Base: base}
	value, err := current.document.withEdit(text, edit).Encode()
	if err != nil {
		return Result{}, err
	}
	var object swplatform.Object
	if base == 0 {
		object, err = attempt.store.Create(ctx, KindRules, NameMain, value)
	} else {
		object, err = attempt.store.Update(ctx, KindRules, NameMain, base, value)
	}
	switch {
	case err == nil:
		return Result{EditID: attempt.id, Version: object.Version, CurrentVersion: object.Version}, nil
	case errors.Is(err, swplatform.ErrOutcomeUnknown):
		attempt.uncertain = true
	case errors.Is(err, swplatform.ErrConflict), errors.Is(err, swplatform.ErrNotFound):
		// The read before it was stale or was overtaken; the next one tells by whom.
		return Result{}, errRetry
	}
	return Result{}, err
}

// behind judges a read whose version is lower than the one edited: a stale read, a deleted object or a wrong version.
func (attempt *attempt) behind(current current) error {
	attempt.stale++
	if attempt.stale < staleReads || attempt.uncertain {
		return errRetry
	}
	return &ConflictError{Base: attempt.request.Base, Version: current.version, Text: current.document.Text, DecodeErr: current.bad}
}

// overtaken judges a read whose version is higher than the one edited, without a trace of the edit.
func (attempt *attempt) overtaken(current current) error {
	base := attempt.request.Base
	edits := current.document.Edits
	if attempt.uncertain && !provesRival(edits, base) {
		return &OutcomeUnknownError{EditID: attempt.id, Version: current.version, Cause: errors.New("the edits that the platform remembers do not reach back to it")}
	}
	edits = edits[:min(uint64(len(edits)), current.version-base)]
	return &ConflictError{Base: base, Version: current.version, Text: current.document.Text, Edits: edits, DecodeErr: current.bad}
}

// provesRival reports whether edits holds one that was made on base. Only one edit can be: a write that names base has no
// effect from then on. Nothing is proved for base zero, because an object can be made, deleted and made again.
func provesRival(edits []Edit, base uint64) bool {
	return base > 0 && slices.ContainsFunc(edits, func(edit Edit) bool { return edit.Base == base })
}

// retryable reports whether another read may bring the edit further.
func retryable(err error) bool {
	return errors.Is(err, errRetry) ||
		errors.Is(err, swplatform.ErrUnavailable) ||
		errors.Is(err, swplatform.ErrMalformedResponse) ||
		errors.Is(err, swplatform.ErrOutcomeUnknown)
}

// final returns the error that ends the attempt.
func (attempt *attempt) final(err error) error {
	var race *ConflictError
	if attempt.uncertain && !errors.As(err, &race) {
		return &OutcomeUnknownError{EditID: attempt.id, Cause: err}
	}
	return err
}

func (attempt *attempt) giveUp() error {
	if attempt.uncertain {
		return &OutcomeUnknownError{EditID: attempt.id, Cause: attempt.last}
	}
	return &UnavailableError{Cause: attempt.last}
}
