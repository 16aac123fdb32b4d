package swkey

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// maxCandidates bounds the possible successors that are asked for a key table.
	maxCandidates = 4
	// locatePatienceMultiple bounds the time for which the search for the holder of a key table is repeated before the issuer
	// counts as unreachable, in multiples of LocateTimeout. With the default LocateTimeout it tolerates a pause of one second,
	// which occurs on a busy machine, and a VM that has just started and does not know the issuer yet.
	locatePatienceMultiple = 3
	// minLocateBackoffDivisor and maxLocateBackoffDivisor bound the delays between searches, as fractions of LocateTimeout: a
	// search fails at once while the issuer is unknown or refuses connections.
	minLocateBackoffDivisor = 20
	maxLocateBackoffDivisor = 2
	// locationTTL is how long a cached location is used. It also bounds the drift between the two clocks.
	locationTTL = 10 * time.Second
	// maxRedirects bounds the redirects to successors that one search follows from one VM.
	maxRedirects = 4
	// driftDivisor bounds the drift between two clocks: at most 1/driftDivisor of the time since they were compared.
	driftDivisor = 1000
	// maxSends bounds how often one request is sent to holders of the key table.
	maxSends = 8
)

// RunMessage asks a peer whether it holds an issuer's key table and, if Request is set, to run the request.
type RunMessage struct {
	Issuer  Issuer
	Request *RunRequest `cbor:",omitempty"`
}

// RunAnswer answers a RunMessage.
type RunAnswer struct {
	// Holds reports whether the peer holds the active key table.
	Holds bool
	// Clock is the time on the key table's clock if the peer has the table.
	Clock time.Duration `cbor:",omitempty"`
	// Name and Incarnation identify the answering peer.
	Name        string
	Incarnation uint64
	// Successor is the name of the VM to which the peer handed the key table over.
	Successor string `cbor:",omitempty"`
	// Moving reports whether the peer is handing the key table over.
	Moving bool `cbor:",omitempty"`
	// Outcome is the outcome of Request, or nil if the request began no run here because the table is not active.
	Outcome *Outcome `cbor:",omitempty"`
}

// location is where the holder of a key table was found.
type location struct {
	target netip.AddrPort
	// tableTime is a time that the table's clock had reached at localTime.
	tableTime time.Duration
	localTime time.Time
}

// tableTimeAt converts a local time to the table's clock. It rounds down by the largest possible drift, so that a limit on
// the table's clock is never later than the local one.
func (location location) tableTimeAt(at time.Time) time.Duration {
	drift := time.Since(location.localTime) / driftDivisor
	return max(location.tableTime+at.Sub(location.localTime)-drift, 1)
}

// locateResult is the result of a search for the holder of a key table.
type locateResult struct {
	location location
	found    bool
	// allAnswered reports whether every VM that was asked answered.
	allAnswered bool
	// issuerReplaced reports whether another incarnation answered under the issuer's name.
	issuerReplaced bool
	// handingOver reports whether a peer is handing the table over.
	handingOver bool
	// reason is why a VM that was asked gave no answer.
	reason string
}

// forward sends a request to the holder of the issuer's key table. The request itself is sent only to a peer that has
// confirmed that it holds the table, with a limit on the table's clock for the start of the run. Until an answer arrives,
// forward repeats the search for the holder, since the table may have moved.
func (service *Service) forward(ctx context.Context, issuer Issuer, request RunRequest) Outcome {
	located := service.locateWithRetries(ctx, issuer)
	if !located.found {
		return notForwarded(located)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	forwarding := forwarding{service: service, issuer: issuer, request: request, results: make(chan sendResult, maxSends)}
	forwarding.send(ctx, located.location)
	ticker := time.NewTicker(service.config.Limits.LocateTimeout)
	defer ticker.Stop()
	for {
		select {
		case sendResult := <-forwarding.results:
			outcome, done := forwarding.handleResult(ctx, sendResult)
			if done {
				return outcome
			}
		case <-ticker.C:
			if !forwarding.relocate(ctx) {
				return noAnswer()
			}
		case <-ctx.Done():
			return noAnswer()
		}
	}
}

// notForwarded returns the outcome of a request for which no holder was found.
func notForwarded(located locateResult) Outcome {
	if located.handingOver {
		return temporaryRefusal(swcode.HandoverInProgress, swcode.RanUnknown, "the issuer is handing its key table over")
	}
	if located.issuerReplaced && located.allAnswered {
		return refusal(swcode.IssuerGone, swcode.RanUnknown, "the process that issued the key has ended; this request was not run")
	}
	return temporaryRefusal(swcode.IssuerUnreachable, swcode.RanUnknown,
		"the issuer did not answer; this request was not forwarded and will not be run: "+located.reason)
}

// noAnswer returns the outcome of a request that was forwarded and not answered.
func noAnswer() Outcome {
	return temporaryRefusal(swcode.IssuerUnreachable, swcode.RanUnknown,
		"the issuer did not answer; this request can no longer begin a run")
}

// earlierLimit returns the earlier of two time limits. If a is zero, only b applies.
func earlierLimit(a, b time.Duration) time.Duration {
	if a > 0 && a < b {
		return a
	}
	return b
}

// locateWithRetries repeats the search for the holder with backoff while some of the VMs asked do not answer, since they may be
// busy, paused or not known for a moment. Retrying is safe because the request has not been sent yet.
func (service *Service) locateWithRetries(ctx context.Context, issuer Issuer) locateResult {
	timeout := service.config.Limits.LocateTimeout
	ctx, cancel := context.WithTimeout(ctx, locatePatienceMultiple*timeout)
	defer cancel()
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{
		InitialDelay: timeout / minLocateBackoffDivisor,
		MaxDelay:     timeout / maxLocateBackoffDivisor,
	})
	for {
		result := service.locate(ctx, issuer)
		if result.found || result.allAnswered || backoff.Wait(ctx) != nil {
			return result
		}
	}
}

// locate returns the cached holder of a key table, or asks in parallel the issuer, the successor in the gossip records and
// the VMs from which the successor would be chosen.
func (service *Service) locate(ctx context.Context, issuer Issuer) locateResult {
	cached, ok := service.locations.Get(issuer)
	if ok && time.Since(cached.localTime) < locationTTL {
		return locateResult{location: cached, found: true}
	}
	ctx, cancel := context.WithTimeout(ctx, service.config.Limits.LocateTimeout)
	defer cancel()
	names := service.candidates(issuer)
	results := make(chan locateResult, len(names))
	for _, name := range names {
		service.config.Group.Go(func(context.Context) { results <- service.locateFrom(ctx, issuer, name) })
	}
	merged := locateResult{allAnswered: true}
	for range names {
		result := <-results
		if result.found {
			service.locations.Put(issuer, result.location)
			return result
		}
		merged.allAnswered = merged.allAnswered && result.allAnswered
		merged.issuerReplaced = merged.issuerReplaced || result.issuerReplaced
		merged.handingOver = merged.handingOver || result.handingOver
		merged.reason = cmp.Or(merged.reason, result.reason)
	}
	return merged
}

// candidates returns the names of the VMs to ask, without this one.
func (service *Service) candidates(issuer Issuer) []string {
	names := []string{issuer.Name}
	if successor, ok := service.successorOf(issuer); ok {
		names = append(names, successor)
	}
	for i, peer := range service.config.Directory.Successors(issuer.Name) {
		if i == maxCandidates {
			break
		}
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == service.self.Name })
}

// locateFrom asks a VM for the key table and follows its redirects to successors. A VM that the members declared dead counts as
// having answered, because it holds no tables.
func (service *Service) locateFrom(ctx context.Context, issuer Issuer, name string) locateResult {
	var result locateResult
	for range maxRedirects {
		if name == service.self.Name {
			return result
		}
		target, ok := service.config.Directory.Peer(name)
		if !ok {
			result.reason = name + " is not known to this VM"
			if service.config.Directory.IsDead(name) {
				result.reason, result.allAnswered = name+" was declared dead", true
			}
			return result
		}
		answer, err := service.sendRunMessage(ctx, target, RunMessage{Issuer: issuer})
		if err != nil {
			result.reason = name + ": " + err.Error()
			return result
		}
		if answer.Holds {
			result.found = true
			result.location = location{target: target, tableTime: answer.Clock, localTime: time.Now()}
			return result
		}
		result.handingOver = result.handingOver || answer.Moving
		if answer.Successor == "" {
			result.allAnswered = true
			result.issuerReplaced = answer.Name == issuer.Name && answer.Incarnation != issuer.Incarnation
			return result
		}
		name = answer.Successor
	}
	return result
}

func (service *Service) sendRunMessage(ctx context.Context, target netip.AddrPort, message RunMessage) (RunAnswer, error) {
	var answer RunAnswer
	err := service.config.Transport.Call(ctx, target, swpeer.MethodRun, message, &answer)
	return answer, err
}

// runAfterHandover waits until the handover of the key table ends and forwards the request to the successor.
func (service *Service) runAfterHandover(ctx context.Context, keyTable *keyTable, request RunRequest) Outcome {
	select {
	case <-keyTable.handoverEnded:
	case <-ctx.Done():
		return temporaryRefusal(swcode.HandoverInProgress, swcode.RanUnknown, "the issuer is handing its key table over")
	}
	if phase, _ := keyTable.phaseAndSuccessor(); phase != relinquished {
		return temporaryRefusal(swcode.Leaving, swcode.RanNo, "this VM is leaving and no successor accepted its key table")
	}
	return service.forward(ctx, keyTable.issuer, request)
}

// HandleRun answers a peer's RunMessage. It is the handler of swpeer.MethodRun.
func (service *Service) HandleRun(ctx context.Context, _ string, message RunMessage) (RunAnswer, error) {
	answer := RunAnswer{Name: service.self.Name, Incarnation: service.self.Incarnation}
	keyTable, held := service.keyTables.Get(message.Issuer)
	if !held {
		return answer, nil
	}
	phase, successor := keyTable.phaseAndSuccessor()
	answer.Successor = successor
	answer.Moving = phase == stopping
	answer.Holds = phase == active
	answer.Clock = keyTable.clock.now()
	if message.Request == nil {
		return answer, nil
	}
	outcome, handingOver := service.serveRequest(ctx, keyTable, *message.Request)
	if !handingOver {
		answer.Outcome = &outcome
	}
	return answer, nil
}

// serveRequest runs a forwarded request under the table's issuer. handingOver is true if the table is not active and has no run
// under the key.
func (service *Service) serveRequest(ctx context.Context, keyTable *keyTable, request RunRequest) (outcome Outcome, handingOver bool) {
	token, err := ParseToken(request.Key)
	if err != nil {
		return outcomeFromAnyError(err), false
	}
	if token.Issuer != keyTable.issuer {
		return OutcomeFromError(invalidKey("the key was forwarded to another issuer")), false
	}
	service.executorMutex.RLock()
	executor := service.executor
	service.executorMutex.RUnlock()
	if executor == nil {
		return temporaryRefusal(swcode.NotReady, swcode.RanNo, "the issuer is not ready"), false
	}
	if request.EndBefore > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.EndBefore-keyTable.clock.now())
		defer cancel()
	}
	return service.runLocally(ctx, keyTable, token, request, func(ctx context.Context) Outcome {
		return executor(ctx, request)
	})
}

// successorKey returns the key of the record that names an issuer's successor.
func successorKey(issuer Issuer) string {
	return issuer.Name + "/" + strconv.FormatUint(issuer.Incarnation, 16)
}

// successorOf returns the successor of an issuer according to the gossip records.
func (service *Service) successorOf(issuer Issuer) (string, bool) {
	if service.config.Records == nil {
		return "", false
	}
	record, ok := service.config.Records.Get(swmember.TopicSuccessor, successorKey(issuer))
	if !ok {
		return "", false
	}
	return string(record.Value), true
}
