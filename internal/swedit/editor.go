package swedit

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// maxStaleReads is the number of consecutive reads below the base version after which the base version counts as wrong.
const maxStaleReads = 8

// Store is the part of the platform's object API that an Editor needs.
type Store interface {
	Get(ctx context.Context, kind, name string) (swplatform.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (swplatform.Object, error)
	Update(ctx context.Context, kind, name string, version uint64, value []byte) (swplatform.Object, error)
}

// Config configures an Editor.
type Config struct {
	Store Store
	// Backoff sets the delays between retries.
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

// Request is an edit that an operator requests.
type Request struct {
	// Text is the new rule file. If its first line names a version, it is stored with the new version in that line.
	Text string
	// Base is the version that the operator edited, or zero to create the object.
	Base uint64
	// By is the name of the operator.
	By string
}

// Result is the result of an accepted edit.
type Result struct {
	EditID string
	// Version is the version that the edit created, or the current version if Unchanged is set.
	Version uint64
	// CurrentVersion is the version at the platform when the outcome became known.
	CurrentVersion uint64
	// Unchanged means that the platform already had the same rules and nothing was written.
	Unchanged bool
	// FoundByID means that the edit was found by its ID, because the response to its write was lost or an earlier process
	// wrote it.
	FoundByID bool
}

// Apply makes the edit if the rules are still at the version that the operator edited. It retries until ctx ends. It fails
// with a *ConflictError, an *OutcomeUnknownError or an *UnavailableError, or with the platform's error if the platform
// rejects the call.
func (editor *Editor) Apply(ctx context.Context, request Request) (Result, error) {
	applyState := &applyState{
		store:       editor.config.Store,
		request:     request,
		editID:      EditID(request.Base, request.By, request.Text),
		requestedAt: time.Now(),
	}
	backoff := swplatform.NewBackoff(editor.config.Backoff)
	for {
		result, err := applyState.try(ctx)
		if err == nil {
			return result, nil
		}
		if !retryable(err) {
			return Result{}, applyState.finalError(err)
		}
		if ctx.Err() == nil || applyState.lastErr == nil {
			applyState.lastErr = err
		}
		if backoff.Wait(ctx) != nil {
			return Result{}, applyState.timeoutError()
		}
	}
}

// applyState is the state of one call of Apply.
type applyState struct {
	store       Store
	request     Request
	editID      string
	requestedAt time.Time
	// outcomeUnknown is set once the response to a write was lost.
	outcomeUnknown bool
	// staleReads counts the consecutive reads below the base version.
	staleReads int
	// lastErr is the error that caused the current retry.
	lastErr error
}

// currentRules is the result of a read of the rules object.
type currentRules struct {
	// version is zero if the object does not exist.
	version  uint64
	document Document
	// decodeErr is set if the object can't be decoded.
	decodeErr error
}

// errRetry requests another read.
var errRetry = errors.New("the platform's reads lag behind its writes")

// try reads the rules once, and writes the edit if they are at the base version.
func (applyState *applyState) try(ctx context.Context) (Result, error) {
	currentRules, err := applyState.read(ctx)
	if err != nil {
		return Result{}, err
	}
	if result, ok := applyState.existingResult(currentRules); ok {
		return result, nil
	}
	switch {
	case currentRules.version == applyState.request.Base:
		applyState.staleReads = 0
		return applyState.write(ctx, currentRules)
	case currentRules.version < applyState.request.Base:
		return Result{}, applyState.olderVersionError(currentRules)
	default:
		return Result{}, applyState.newerVersionError(currentRules)
	}
}

func (applyState *applyState) read(ctx context.Context) (currentRules, error) {
	object, err := applyState.store.Get(ctx, KindRules, NameMain)
	if errors.Is(err, swplatform.ErrNotFound) {
		return currentRules{}, nil
	}
	if err != nil {
		return currentRules{}, err
	}
	document, err := DecodeDocument(object.Value)
	return currentRules{version: object.Version, document: document, decodeErr: err}, nil
}

// existingResult returns the result of an edit that the document already records, or whose rules it already has.
func (applyState *applyState) existingResult(currentRules currentRules) (Result, bool) {
	if index := currentRules.document.editIndex(applyState.editID); index >= 0 {
		version := applyState.request.Base + 1
		if applyState.request.Base == 0 {
			// A re-created object continues the versions of the deleted one, so count back from the newest edit.
			version = currentRules.version - uint64(index)
		}
		return Result{EditID: applyState.editID, Version: version, CurrentVersion: currentRules.version, FoundByID: true}, true
	}
	sameRules := currentRules.version >= max(applyState.request.Base, 1) && currentRules.decodeErr == nil &&
		StripHeader(currentRules.document.Text) == StripHeader(applyState.request.Text)
	if sameRules && !applyState.outcomeUnknown {
		return Result{
			EditID: applyState.editID, Version: currentRules.version, CurrentVersion: currentRules.version, Unchanged: true,
		}, true
	}
	return Result{}, false
}

func (applyState *applyState) write(ctx context.Context, currentRules currentRules) (Result, error) {
	base := applyState.request.Base
	text := updateHeader(applyState.request.Text, base+1)
	edit := Edit{ID: applyState.editID, By: applyState.request.By, At: applyState.requestedAt, Base: base}
	value, err := currentRules.document.withEdit(text, edit).Encode()
	if err != nil {
		return Result{}, err
	}
	var object swplatform.Object
	if base == 0 {
		object, err = applyState.store.Create(ctx, KindRules, NameMain, value)
	} else {
		object, err = applyState.store.Update(ctx, KindRules, NameMain, base, value)
	}
	switch {
	case err == nil:
		return Result{EditID: applyState.editID, Version: object.Version, CurrentVersion: object.Version}, nil
	case errors.Is(err, swplatform.ErrOutcomeUnknown):
		applyState.outcomeUnknown = true
	case errors.Is(err, swplatform.ErrConflict), errors.Is(err, swplatform.ErrNotFound):
		// The read was stale, or another edit came between read and write. The next read shows which.
		return Result{}, errRetry
	}
	return Result{}, err
}

// olderVersionError returns the error for a read below the base version. The read may be stale, the object may have been
// deleted, or the base version may be wrong.
func (applyState *applyState) olderVersionError(currentRules currentRules) error {
	applyState.staleReads++
	if applyState.staleReads < maxStaleReads || applyState.outcomeUnknown {
		return errRetry
	}
	return &ConflictError{
		Base: applyState.request.Base, Version: currentRules.version, Text: currentRules.document.Text, DecodeErr: currentRules.decodeErr,
	}
}

// newerVersionError returns the error for a read above the base version if the document does not record the edit.
func (applyState *applyState) newerVersionError(currentRules currentRules) error {
	base := applyState.request.Base
	edits := currentRules.document.Edits
	if applyState.outcomeUnknown && !containsEditOfBase(edits, base) {
		return &OutcomeUnknownError{
			EditID: applyState.editID, Version: currentRules.version,
			Cause: errors.New("the recorded edits do not reach back to its base version"),
		}
	}
	edits = edits[:min(uint64(len(edits)), currentRules.version-base)]
	return &ConflictError{
		Base: base, Version: currentRules.version, Text: currentRules.document.Text, Edits: edits, DecodeErr: currentRules.decodeErr,
	}
}

// containsEditOfBase reports whether edits contains an edit of version base. That edit proves that no other edit of base took
// or will take effect, because writes conditional on base fail from then on. Base zero proves nothing, because an object can
// be created, deleted and created again.
func containsEditOfBase(edits []Edit, base uint64) bool {
	return base > 0 && slices.ContainsFunc(edits, func(edit Edit) bool { return edit.Base == base })
}

// retryable reports whether Apply reads again after the error.
func retryable(err error) bool {
	return errors.Is(err, errRetry) ||
		errors.Is(err, swplatform.ErrUnavailable) ||
		errors.Is(err, swplatform.ErrMalformedResponse) ||
		errors.Is(err, swplatform.ErrOutcomeUnknown)
}

// finalError returns the result of Apply after an error that is not retried.
func (applyState *applyState) finalError(err error) error {
	var conflict *ConflictError
	if applyState.outcomeUnknown && !errors.As(err, &conflict) {
		return &OutcomeUnknownError{EditID: applyState.editID, Cause: err}
	}
	return err
}

// timeoutError returns the result of Apply when its context ends.
func (applyState *applyState) timeoutError() error {
	if applyState.outcomeUnknown {
		return &OutcomeUnknownError{EditID: applyState.editID, Cause: applyState.lastErr}
	}
	return &UnavailableError{Cause: applyState.lastErr}
}
