package swapp

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swhttp"
	"github.com/sycamorewall/sycamorewall/internal/swkey"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// successorsPerDataCentre is the number of VMs in a data centre that may take over the keys of a leaving VM.
const successorsPerDataCentre = 8

func newKeyService(config Config, group *swgroup.Group, node *swpeer.Node, directory *swmember.Directory, recordStore *swmember.RecordStore, platform *swplatform.Client) (*swkey.Service, error) {
	return swkey.New(swkey.Config{
		Name:      config.Settings.Name,
		Transport: node,
		Directory: keyDirectory{directory: directory},
		Records:   recordStore,
		Claims:    claimStore{client: platform},
		Group:     group,
	})
}

// keyDirectory finds the VMs that issued keys or may take them over.
type keyDirectory struct {
	directory *swmember.Directory
}

// Peer returns the address of the VM with the given name.
func (keyDirectory keyDirectory) Peer(name string) (netip.AddrPort, bool) {
	member, known := keyDirectory.directory.View().Member(name)
	return member.Peer, known
}

// IsDead reports whether the members have declared the VM with the given name dead.
func (keyDirectory keyDirectory) IsDead(name string) bool {
	return keyDirectory.directory.IsDead(name)
}

// Successors returns the VMs that may take over the keys of the named VM: those of its data centre in rendezvous order. If the VM
// is not known, they are the first VM of each data centre, then the second of each, and so on.
func (keyDirectory keyDirectory) Successors(name string) []swkey.Peer {
	view := keyDirectory.directory.View()
	dataCentres := view.DataCentres()
	if issuer, known := view.Member(name); known {
		dataCentres = []string{issuer.DataCentre}
	}
	var peers []swkey.Peer
	for rank := range successorsPerDataCentre {
		for _, dataCentre := range dataCentres {
			owners := view.Owners(dataCentre, "keys/"+name)
			if rank >= len(owners) || owners[rank].Name == name || owners[rank].State != swmember.Alive {
				continue
			}
			peers = append(peers, swkey.Peer{Name: owners[rank].Name, Address: owners[rank].Peer})
		}
	}
	return peers
}

// claimStore stores claims in the platform's store.
type claimStore struct {
	client *swplatform.Client
}

// Create stores a claim. It returns swkey.ErrClaimExists if there is one with that name.
func (claimStore claimStore) Create(ctx context.Context, name string, value []byte) error {
	_, err := claimStore.client.Create(ctx, swkey.KindClaim, name, value)
	if errors.Is(err, swplatform.ErrConflict) {
		return swkey.ErrClaimExists
	}
	return err
}

// Get returns a claim. It returns swkey.ErrNoClaim if there is none.
func (claimStore claimStore) Get(ctx context.Context, name string) ([]byte, error) {
	object, err := claimStore.client.Get(ctx, swkey.KindClaim, name)
	if errors.Is(err, swplatform.ErrNotFound) {
		return nil, swkey.ErrNoClaim
	}
	return object.Value, err
}

// Delete removes a claim. It returns swkey.ErrNoClaim if there is none.
func (claimStore claimStore) Delete(ctx context.Context, name string) error {
	err := claimStore.client.Delete(ctx, swkey.KindClaim, name, 0)
	if errors.Is(err, swplatform.ErrNotFound) {
		return swkey.ErrNoClaim
	}
	return err
}

// List returns the names of the claims that begin with prefix.
func (claimStore claimStore) List(ctx context.Context, prefix string) ([]string, error) {
	_, versions, err := claimStore.client.List(ctx, swkey.KindClaim, prefix)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(versions))
	for i := range versions {
		names[i] = versions[i].Name
	}
	return names, nil
}

// runService runs non-idempotent requests at most once under idempotency keys.
type runService struct {
	keys   *swkey.Service
	engine *swquery.Engine
}

func newRunService(keys *swkey.Service, engine *swquery.Engine) *runService {
	service := &runService{keys: keys, engine: engine}
	keys.SetExecutor(service.execute)
	return service
}

// Issue returns new idempotency keys.
func (runService *runService) Issue(ctx context.Context, count int) (swclient.KeysReply, error) {
	batch, err := runService.keys.Issue(ctx, count)
	if err != nil {
		return swclient.KeysReply{}, err
	}
	return swclient.KeysReply{
		Code:    swcode.OK,
		Ran:     swcode.RanNo,
		Keys:    batch.Keys,
		Expires: swclient.Duration(batch.Expires),
		Clock:   swclient.Duration(batch.Clock),
	}, nil
}

// Run runs a request under its key, or returns the outcome of an earlier run under the same key.
func (runService *runService) Run(ctx context.Context, request swclient.RunRequest) swclient.SearchReply {
	started := time.Now()
	body, err := json.Marshal(request)
	if err != nil {
		return newRefusalReply(request.RequestID, &swcode.Error{Code: swcode.Internal, Ran: swcode.RanNo, Message: err.Error()})
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.Timeout))
	defer cancel()
	runRequest := swkey.RunRequest{
		Key:         request.Key,
		Caller:      request.Caller,
		Fingerprint: runFingerprint(&request),
		StartBefore: time.Duration(request.StartBefore),
		Body:        body,
	}
	outcome := runService.keys.Run(ctx, runRequest, func(ctx context.Context) swkey.Outcome { return runService.execute(ctx, runRequest) })
	reply := newRunReply(request.RequestID, outcome)
	reply.Took = swclient.Duration(time.Since(started))
	return reply
}

// runFingerprint identifies what a run does. A resend under the same key must have the same fingerprint.
func runFingerprint(request *swclient.RunRequest) uint64 {
	query := swhttp.NewQuery(&request.SearchRequest)
	return query.Fingerprint ^ xxhash.Sum64String(request.Route)
}

// execute runs a request. It is called on the VM that holds the active key table of the request's key.
func (runService *runService) execute(ctx context.Context, runRequest swkey.RunRequest) swkey.Outcome {
	var request swclient.RunRequest
	if err := json.Unmarshal(runRequest.Body, &request); err != nil {
		return swkey.OutcomeFromError(&swcode.Error{Code: swcode.BadRequest, Ran: swcode.RanNo, Message: err.Error()})
	}
	query := swhttp.NewQuery(&request.SearchRequest)
	query.RunKey = runRequest.Key
	query.Route = request.Route
	if deadline, ok := ctx.Deadline(); ok {
		query.Timeout = min(query.Timeout, time.Until(deadline))
	}
	result := runService.engine.Run(ctx, query)
	outcome := swkey.Outcome{Code: result.Code, Ran: result.Ran}
	if result.Err != nil {
		outcome = swkey.OutcomeFromError(result.Err)
	}
	reply, err := json.Marshal(swhttp.NewReply("", result))
	if err == nil {
		outcome.Reply = reply
	}
	return outcome
}

// newRunReply returns the reply to a caller's request from the outcome of a run, which another request may have started.
func newRunReply(requestID string, outcome swkey.Outcome) swclient.SearchReply {
	var reply swclient.SearchReply
	if len(outcome.Reply) > 0 && json.Unmarshal(outcome.Reply, &reply) == nil {
		reply.RequestID = requestID
		return reply
	}
	refusal := &swcode.Error{}
	if errors.As(outcome.Err(), &refusal) {
		return newRefusalReply(requestID, refusal)
	}
	return swclient.SearchReply{Code: outcome.Code, Ran: outcome.Ran, RequestID: requestID}
}

func newRefusalReply(requestID string, refusal *swcode.Error) swclient.SearchReply {
	return swclient.SearchReply{Code: refusal.Code, Ran: refusal.Ran, RequestID: requestID, Refusal: swhttp.NewRefusal(refusal)}
}
