package swkey

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// KindClaim is the kind of the platform objects that hold one Claim each.
const KindClaim = "Claim"

var (
	// ErrClaimExists is returned when an object of that name exists.
	ErrClaimExists = errors.New("claim exists")
	// ErrNoClaim is returned when no object of that name exists.
	ErrNoClaim = errors.New("no such claim")
)

const (
	// claimBuckets is the number of consecutive time buckets that a claim is written to.
	claimBuckets = 2
	// maxClaimAttempts bounds the attempts to create a claim or read it back before the request is refused.
	maxClaimAttempts = 3
	// minClaimBackoff and maxClaimBackoff bound the delays between these attempts: a call fails at once while the platform
	// refuses connections, and the caller waits meanwhile.
	minClaimBackoff = 50 * time.Millisecond
	maxClaimBackoff = 200 * time.Millisecond
	// cleanerLookbackBuckets is the number of past buckets that a new cleaner starts with.
	cleanerLookbackBuckets = 48
	// claimHashSize is the size of the hash in a claim's name, in bytes.
	claimHashSize = 16
	// claimFormatVersion is the version of the format of claim names and values.
	claimFormatVersion = 1
)

// ClaimStore stores claims at the platform. After any error other than ErrClaimExists and ErrNoClaim the call may or may
// not have taken effect.
type ClaimStore interface {
	// Create stores a value under a new name. It returns ErrClaimExists if the name exists.
	Create(ctx context.Context, name string, value []byte) error
	// Get returns the value under a name, or ErrNoClaim.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes a name, or returns ErrNoClaim.
	Delete(ctx context.Context, name string) error
	// List returns the names that begin with prefix.
	List(ctx context.Context, prefix string) ([]string, error)
}

// Claim is the value of a claim object. It maps a key that the caller chose to the issued key that its work runs under.
type Claim struct {
	Version int
	Caller  string
	Key     string
}

// runUnderCallerKey runs work under a key that the caller chose. It maps the key to a newly issued one by a claim and runs
// under that, or under the issued key of an earlier claim.
func (service *Service) runUnderCallerKey(ctx context.Context, request RunRequest, execute func(ctx context.Context) Outcome) Outcome {
	if service.config.Claims == nil {
		return refusal(swcode.ClaimUnavailable, swcode.RanNo, "this VM has no platform at which to claim the key")
	}
	if phase, _ := service.ownTable.phaseAndSuccessor(); phase != active {
		return temporaryRefusal(swcode.Leaving, swcode.RanNo, "this VM is leaving")
	}
	issued, err := service.claimKey(ctx, request.Caller, request.Key)
	if err != nil {
		return temporaryRefusal(swcode.ClaimUnavailable, swcode.RanNo, "the platform could not store the claim on the key")
	}
	request.Key = issued
	request.StartBefore = 0
	return service.runUnderIssuedKey(ctx, request, execute)
}

// claimKey returns the issued key that the caller's key maps to. The claim is written to the current time bucket and then
// to the next, and the later bucket decides. So VMs whose clocks are in adjacent buckets agree, and a claim holds for at
// least one bucket width.
func (service *Service) claimKey(ctx context.Context, caller, key string) (string, error) {
	width := service.config.Limits.ClaimBucket
	bucket := time.Now().UnixNano() / int64(width)
	issued := service.ownTable.issue((claimBuckets + 1) * width)
	for i := range int64(claimBuckets) {
		var err error
		issued, err = service.claimInBucket(ctx, bucket+i, caller, key, issued)
		if err != nil {
			return "", err
		}
	}
	return issued, nil
}

// claimInBucket creates the claim for the issued key in a bucket and returns the key that the bucket then holds. After an
// error it reads the claim back, since the create may have taken effect.
func (service *Service) claimInBucket(ctx context.Context, bucket int64, caller, key, issued string) (string, error) {
	value, err := json.Marshal(Claim{Version: claimFormatVersion, Caller: caller, Key: issued})
	if err != nil {
		return "", errors.Wrap(err, "encode claim")
	}
	name := bucketPrefix(bucket) + claimName(caller, key)
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{InitialDelay: minClaimBackoff, MaxDelay: maxClaimBackoff})
	for attempt := range maxClaimAttempts {
		if attempt > 0 && backoff.Wait(ctx) != nil {
			break
		}
		err = service.config.Claims.Create(ctx, name, value)
		if err == nil {
			return issued, nil
		}
		existing, getErr := service.readClaim(ctx, name, caller)
		if getErr == nil {
			return existing, nil
		}
	}
	return "", errors.Wrap(err, "claim the key")
}

// readClaim returns the issued key in a claim. A claim of another caller or format is an error.
func (service *Service) readClaim(ctx context.Context, name, caller string) (string, error) {
	value, err := service.config.Claims.Get(ctx, name)
	if err != nil {
		return "", err
	}
	var claim Claim
	if err := json.Unmarshal(value, &claim); err != nil {
		return "", errors.Wrapf(err, "decode claim %s", name)
	}
	if claim.Version != claimFormatVersion || claim.Caller != caller || !IsIssued(claim.Key) {
		return "", errors.Errorf("claim %s has another format version or caller, or no issued key", name)
	}
	return claim.Key, nil
}

// bucketPrefix returns the prefix of the names of the claims in a bucket.
func bucketPrefix(bucket int64) string {
	return fmt.Sprintf("%d-", bucket)
}

// claimName returns the part of a claim's name that identifies the caller and its key. The length of the caller keeps
// different pairs with the same concatenation apart.
func claimName(caller, key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(caller), caller, key))
	return hex.EncodeToString(sum[:claimHashSize])
}

// ClaimCleaner deletes expired claims bucket by bucket. Any VM may run one; one per data centre is enough. It is not safe
// for concurrent use. Construct it with NewClaimCleaner.
type ClaimCleaner struct {
	claims      ClaimStore
	bucketWidth time.Duration
	nextBucket  int64
}

// NewClaimCleaner returns a cleaner for claims in buckets of the given width. Zero means the default of
// Limits.ClaimBucket.
func NewClaimCleaner(claimStore ClaimStore, width time.Duration) *ClaimCleaner {
	setDefault(&width, defaultClaimBucket)
	return &ClaimCleaner{claims: claimStore, bucketWidth: width, nextBucket: time.Now().UnixNano()/int64(width) - cleanerLookbackBuckets}
}

// Clean deletes the claims of the buckets that expired since the last call, and returns their number. It lists only
// expired claims. After an error the next call resumes at the bucket that failed.
func (claimCleaner *ClaimCleaner) Clean(ctx context.Context) (deleted int, err error) {
	current := time.Now().UnixNano() / int64(claimCleaner.bucketWidth)
	for ; claimCleaner.nextBucket < current-claimBuckets; claimCleaner.nextBucket++ {
		count, err := claimCleaner.cleanBucket(ctx, claimCleaner.nextBucket)
		deleted += count
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

func (claimCleaner *ClaimCleaner) cleanBucket(ctx context.Context, bucket int64) (int, error) {
	prefix := bucketPrefix(bucket)
	names, err := claimCleaner.claims.List(ctx, prefix)
	if err != nil {
		return 0, errors.Wrapf(err, "list claims %s", prefix)
	}
	deleted := 0
	for _, name := range names {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		err := claimCleaner.claims.Delete(ctx, name)
		if err != nil && !errors.Is(err, ErrNoClaim) {
			return deleted, errors.Wrapf(err, "delete claim %s", name)
		}
		deleted++
	}
	return deleted, nil
}
