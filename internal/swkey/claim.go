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

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// KindClaim names the platform objects that hold one Claim each.
const KindClaim = "Claim"

var (
	// ErrClaimExists tells that an object of the name exists.
	ErrClaimExists = errors.New("claim exists")
	// ErrNoClaim tells that no object of the name exists.
	ErrNoClaim = errors.New("no such claim")
)

const (
	// claimBuckets is the number of buckets that a claim is written to.
	claimBuckets = 2
	// claimAttempts is how often a claim whose answer was lost is settled before the request is refused.
	claimAttempts = 3
	// cleanLookback is the number of past buckets that a cleaner looks at when it starts.
	cleanLookback = 48
	// claimNameSize is the size of the hash that names a claim in bytes.
	claimNameSize = 16
	// claimVersion is the layout of names and values of claims.
	claimVersion = 1
)

// ClaimStore stores claims at the platform. Any error but the two of this package leaves open whether the call took effect.
type ClaimStore interface {
	// Create stores a value under a name that must not exist, else it returns ErrClaimExists.
	Create(ctx context.Context, name string, value []byte) error
	// Get returns a value, or ErrNoClaim.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes a value, or returns ErrNoClaim.
	Delete(ctx context.Context, name string) error
	// List returns the names that begin with prefix.
	List(ctx context.Context, prefix string) ([]string, error)
}

// Claim is the value of a claim object: it binds a key of a caller's own to an issued key, which is also its ID.
type Claim struct {
	Version int
	Caller  string
	Key     string
}

// runClaimed runs work under a key of the caller's own: it claims the key for a newly issued one and runs under that, or
// under the issued key that another VM claimed it for.
func (service *Service) runClaimed(ctx context.Context, request RunRequest, execute func(ctx context.Context) Outcome) Outcome {
	if service.config.Claims == nil {
		return refusal(swcode.ClaimUnavailable, swcode.RanNo, "this VM has no platform to claim the key at")
	}
	if phase, _ := service.own.current(); phase != active {
		return refusalForNow(swcode.Leaving, swcode.RanNo, "this VM is leaving")
	}
	issued, err := service.claim(ctx, request.Caller, request.Key)
	if err != nil {
		return refusalForNow(swcode.ClaimUnavailable, swcode.RanNo, "the platform could not take the claim on the key")
	}
	request.Key = issued
	request.StartBefore = 0
	return service.runIssued(ctx, request, execute)
}

// claim returns the issued key that the caller's own key stands for. The claim is written to the present bucket and the
// next, and the later bucket decides; so VMs whose clocks stand in neighbouring buckets agree, and a claim holds for at
// least a whole bucket.
func (service *Service) claim(ctx context.Context, caller, key string) (string, error) {
	width := service.config.Limits.ClaimBucket
	bucket := time.Now().UnixNano() / int64(width)
	issued := service.own.issue((claimBuckets + 1) * width)
	for i := range int64(claimBuckets) {
		var err error
		issued, err = service.claimIn(ctx, bucket+i, caller, key, issued)
		if err != nil {
			return "", err
		}
	}
	return issued, nil
}

// claimIn creates the claim in a bucket for the issued key and returns the key that the bucket holds. A lost answer is
// settled by reading the claim back.
func (service *Service) claimIn(ctx context.Context, bucket int64, caller, key, issued string) (string, error) {
	value, err := json.Marshal(Claim{Version: claimVersion, Caller: caller, Key: issued})
	if err != nil {
		return "", errors.Wrap(err, "encode claim")
	}
	name := bucketPrefix(bucket) + claimName(caller, key)
	for range claimAttempts {
		err = service.config.Claims.Create(ctx, name, value)
		if err == nil {
			return issued, nil
		}
		claimed, getErr := service.readClaim(ctx, name, caller)
		if getErr == nil {
			return claimed, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return "", errors.Wrap(err, "claim the key")
}

func (service *Service) readClaim(ctx context.Context, name, caller string) (string, error) {
	value, err := service.config.Claims.Get(ctx, name)
	if err != nil {
		return "", err
	}
	var claim Claim
	if err := json.Unmarshal(value, &claim); err != nil {
		return "", errors.Wrapf(err, "decode claim %s", name)
	}
	if claim.Version != claimVersion || claim.Caller != caller || !IsIssued(claim.Key) {
		return "", errors.Errorf("claim %s is of another layout or caller", name)
	}
	return claim.Key, nil
}

// bucketPrefix begins the names of the claims in a bucket.
func bucketPrefix(bucket int64) string {
	return fmt.Sprintf("%d-", bucket)
}

// claimName returns the part of a claim's name that identifies the caller's key.
func claimName(caller, key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(caller), caller, key))
	return hex.EncodeToString(sum[:claimNameSize])
}

// ClaimCleaner deletes expired claims bucket by bucket. Any VM may run one, best one in each data centre. It is not safe
// for concurrent use. Construct it with NewClaimCleaner.
type ClaimCleaner struct {
	claims ClaimStore
	width  time.Duration
	next   int64
}

// NewClaimCleaner returns a cleaner for claims with buckets of the given width; zero is the default of Limits.
func NewClaimCleaner(claimStore ClaimStore, width time.Duration) *ClaimCleaner {
	setDefault(&width, defaultClaimBucket)
	return &ClaimCleaner{claims: claimStore, width: width, next: time.Now().UnixNano()/int64(width) - cleanLookback}
}

// Clean deletes the claims of the buckets that ended since the last call. It lists only expired claims. After an error
// the next call goes on where this one failed.
func (cleaner *ClaimCleaner) Clean(ctx context.Context) (deleted int, err error) {
	current := time.Now().UnixNano() / int64(cleaner.width)
	for ; cleaner.next < current-claimBuckets; cleaner.next++ {
		count, err := cleaner.cleanBucket(ctx, cleaner.next)
		deleted += count
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

func (cleaner *ClaimCleaner) cleanBucket(ctx context.Context, bucket int64) (int, error) {
	prefix := bucketPrefix(bucket)
	names, err := cleaner.claims.List(ctx, prefix)
	if err != nil {
		return 0, errors.Wrapf(err, "list claims %s", prefix)
	}
	deleted := 0
	for _, name := range names {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		err := cleaner.claims.Delete(ctx, name)
		if err != nil && !errors.Is(err, ErrNoClaim) {
			return deleted, errors.Wrapf(err, "delete claim %s", name)
		}
		deleted++
	}
	return deleted, nil
}
