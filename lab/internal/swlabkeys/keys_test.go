// Package swlabkeys_test tests at-most-once runs and the quarantine on real processes behind fault-injecting proxies.
package swlabkeys_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	// TestMain builds the program under test. The import makes go test discard cached results when the program changes.
	_ "github.com/sycamorewall/sycamorewall/cmd"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbuild"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabfleet"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabplatform"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "sycamorewall-keys-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binary = filepath.Join(directory, "sycamorewall")
	if err := swlabbuild.Build(context.Background(), binary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// fleetTest is a test with a fleet of nine processes. callers holds the base URLs of the VMs.
type fleetTest struct {
	*testing.T
	fleet   *swlabfleet.Fleet
	callers []string
}

func startFleetTest(t *testing.T) *fleetTest {
	t.Helper()
	user, _ := swlabfleet.FindUser("kowhai")
	fleet, err := swlabfleet.Start(t.Context(), swlabfleet.Config{
		User: user, Seed: 1, Launch: swlabfleet.LaunchBinary(binary, t.TempDir()),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	fleetTest := &fleetTest{T: t, fleet: fleet, callers: fleet.CallerURLs()}
	fleetTest.awaitReady()
	return fleetTest
}

func (fleetTest *fleetTest) awaitReady() {
	fleetTest.Helper()
	if err := fleetTest.fleet.AwaitReady(fleetTest.Context()); err != nil {
		fleetTest.Fatal(err)
	}
}

// post sends a body to a VM and decodes the reply.
func (fleetTest *fleetTest) post(vm int, path string, timeout time.Duration, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(fleetTest.Context(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fleetTest.callers[vm]+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(reply)
}

func (fleetTest *fleetTest) fetchKeys(vm int) swclient.KeysReply {
	fleetTest.Helper()
	var reply swclient.KeysReply
	err := fleetTest.post(vm, swclient.PathKeys, 10*time.Second, swclient.KeysRequest{Caller: "treasurer-desk", Count: 4}, &reply)
	if err != nil || reply.Code != swcode.OK {
		fleetTest.Fatalf("no keys from VM %d: %v, %v", vm, err, reply.Err())
	}
	return reply
}

func newRunRequest(key string, timeout time.Duration) swclient.RunRequest {
	request := swclient.RunRequest{Key: key}
	request.Caller, request.Kind, request.Index, request.Query = "treasurer-desk", kindOf(key), "levy", "rent"
	request.Limit = 1
	request.Timeout = swclient.Duration(timeout)
	return request
}

// kindOf returns a kind of work that is unique to a key. Tests count runs by kind, because a backend server may receive a
// different key.
func kindOf(key string) string {
	return fmt.Sprintf("match-%08x", crc32.ChecksumIEEE([]byte(key)))
}

type runOutcome struct {
	Code swcode.Code
	Ran  swcode.Ran
}

var (
	ran               = runOutcome{swcode.OK, swcode.RanYes}
	issuerUnreachable = runOutcome{swcode.IssuerUnreachable, swcode.RanUnknown}
	issuerGone        = runOutcome{swcode.IssuerGone, swcode.RanUnknown}
)

const generousTimeout = 10 * time.Second

// sendRun sends a payment match through a VM. Without a reply it returns OutcomeUnknown.
func (fleetTest *fleetTest) sendRun(vm int, key string, timeout time.Duration) runOutcome {
	var reply swclient.SearchReply
	if err := fleetTest.post(vm, swclient.PathRuns, timeout+10*time.Second, newRunRequest(key, timeout), &reply); err != nil {
		fleetTest.Logf("no reply from VM %d: %v", vm, err)
		return runOutcome{swcode.OutcomeUnknown, swcode.RanUnknown}
	}
	return runOutcome{reply.Code, reply.Ran}
}

func (fleetTest *fleetTest) checkEqual(what string, want, got any) {
	fleetTest.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		fleetTest.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// countRuns returns the number of runs under a key on all backend servers. The index of the payment matches has one shard.
func (fleetTest *fleetTest) countRuns(key string) int {
	return fleetTest.countRunsSince(key, time.Time{})
}

// countRunsSince returns the number of runs that started after a time. A process that is being paused may still start work
// that it has read before.
func (fleetTest *fleetTest) countRunsSince(key string, since time.Time) int {
	count := 0
	for _, record := range fleetTest.fleet.Journal.Records() {
		if record.Kind == kindOf(key) && record.Started.After(since) {
			count++
		}
	}
	return count
}

// resendUntilReached sends a payment match again, as callers do, until its issuer can be reached.
func (fleetTest *fleetTest) resendUntilReached(vm int, key string) runOutcome {
	for {
		runOutcome := fleetTest.sendRun(vm, key, generousTimeout)
		if runOutcome != issuerUnreachable || fleetTest.Context().Err() != nil {
			return runOutcome
		}
	}
}

func (fleetTest *fleetTest) checkThroughEveryVM(key string, want runOutcome) {
	fleetTest.Helper()
	for vm := range fleetTest.callers {
		fleetTest.checkEqual(fmt.Sprintf("through VM %d", vm), want, fleetTest.sendRun(vm, key, generousTimeout))
	}
}

func TestRunsAtMostOnceOnRealProcesses(t *testing.T) {
	fleetTest := startFleetTest(t)
	t.Run("resend at once through every VM", func(t *testing.T) {
		fleetTest.T = t
		key := fleetTest.fetchKeys(0).Keys[0]
		group := swgroup.New(t.Context())
		outcomes := make([]runOutcome, len(fleetTest.callers))
		for vm := range fleetTest.callers {
			group.Go(func(context.Context) { outcomes[vm] = fleetTest.sendRun(vm, key, generousTimeout) })
		}
		group.Wait()
		for vm := range outcomes {
			fleetTest.checkEqual(fmt.Sprintf("through VM %d", vm), ran, outcomes[vm])
		}
		fleetTest.checkEqual("runs", 1, fleetTest.countRuns(key))
	})
	t.Run("caller's own key while responses of the platform are lost", func(t *testing.T) {
		fleetTest.T = t
		fleetTest.fleet.Platform.SetFault(swlabplatform.Fault{LoseAnswers: 1})
		first := fleetTest.sendRun(0, "invoice 17", generousTimeout)
		fleetTest.fleet.Platform.SetFault(swlabplatform.Fault{})
		t.Logf("while responses are lost: %v", first)
		fleetTest.checkThroughEveryVM("invoice 17", ran)
		fleetTest.checkEqual("runs", 1, fleetTest.countRuns("invoice 17"))
	})
	t.Run("issuer paused for longer than the timeout", func(t *testing.T) { fleetTest.T = t; fleetTest.testPausedIssuer(1) })
	t.Run("owners of backend servers paused for longer than the timeout", func(t *testing.T) {
		fleetTest.T = t
		fleetTest.testPausedOwners()
	})
	t.Run("partition between the resend and the issuer", func(t *testing.T) {
		fleetTest.T = t
		key := fleetTest.fetchKeys(0).Keys[0]
		fleetTest.fleet.SetPeerPartition(fleetTest.fleet.VMs[0].DataCentre.Name, true)
		fleetTest.checkEqual("from another data centre", issuerUnreachable, fleetTest.sendRun(8, key, generousTimeout))
		fleetTest.checkEqual("from the same data centre", ran, fleetTest.sendRun(1, key, generousTimeout))
		fleetTest.fleet.SetPeerPartition(fleetTest.fleet.VMs[0].DataCentre.Name, false)
		for vm := range fleetTest.callers {
			fleetTest.checkEqual(fmt.Sprintf("through VM %d", vm), ran, fleetTest.resendUntilReached(vm, key))
		}
		fleetTest.checkEqual("runs", 1, fleetTest.countRuns(key))
	})
	t.Run("graceful stop hands the keys over", func(t *testing.T) { fleetTest.T = t; fleetTest.testGracefulStop(2) })
	t.Run("issuer killed and replaced", func(t *testing.T) { fleetTest.T = t; fleetTest.testKilledIssuer(3) })
}

// testPausedIssuer pauses the issuer's process while requests wait in its sockets, and resumes it after their timeout. The
// issuer must not run them then.
func (fleetTest *fleetTest) testPausedIssuer(issuer int) {
	keys := fleetTest.fetchKeys(issuer)
	forwarded, direct, later := keys.Keys[0], keys.Keys[1], keys.Keys[2]
	vm := fleetTest.fleet.VMs[issuer]
	if err := fleetTest.fleet.SetVMPaused(vm, true); err != nil {
		fleetTest.Fatal(err)
	}
	request := newRunRequest(direct, time.Second)
	request.StartBefore = keys.Clock + swclient.Duration(time.Second)
	var reply swclient.SearchReply
	fleetTest.checkEqual("no reply from the paused issuer", true,
		fleetTest.post(issuer, swclient.PathRuns, time.Second, request, &reply) != nil)
	fleetTest.checkEqual("resend of the same key", issuerUnreachable, fleetTest.sendRun(4, direct, time.Second))
	fleetTest.checkEqual("another key", issuerUnreachable, fleetTest.sendRun(8, forwarded, time.Second))
	resumed := time.Now()
	if err := fleetTest.fleet.SetVMPaused(vm, false); err != nil {
		fleetTest.Fatal(err)
	}
	fleetTest.awaitReady()
	fleetTest.checkEqual("run after the issuer was resumed", ran, fleetTest.sendRun(issuer, later, generousTimeout))
	fleetTest.checkEqual("runs that started after the issuer was resumed", []int{0, 0},
		[]int{fleetTest.countRunsSince(forwarded, resumed), fleetTest.countRunsSince(direct, resumed)})
	fleetTest.checkEqual("resend after the issuer was resumed", ran, fleetTest.sendRun(4, forwarded, generousTimeout))
	fleetTest.checkEqual("runs", 1, fleetTest.countRuns(forwarded))
}

// testPausedOwners pauses every VM but the root, so that work waits in the sockets of the owners of backend servers, and
// resumes them after the timeout. The owners must not start the work then.
func (fleetTest *fleetTest) testPausedOwners() {
	keys := fleetTest.fetchKeys(0).Keys
	fleetTest.setOthersPaused(true)
	group := swgroup.New(fleetTest.Context())
	for _, key := range keys {
		group.Go(func(context.Context) { fleetTest.Logf("while paused: %v", fleetTest.sendRun(0, key, time.Second)) })
	}
	group.Wait()
	resumed := time.Now()
	fleetTest.setOthersPaused(false)
	fleetTest.awaitReady()
	for vm := range fleetTest.callers {
		fleetTest.checkEqual("run after the owners were resumed", ran, fleetTest.sendRun(vm, fleetTest.fetchKeys(0).Keys[0], generousTimeout))
	}
	for _, key := range keys {
		fleetTest.checkEqual("runs that started after the owners were resumed", 0, fleetTest.countRunsSince(key, resumed))
		fleetTest.checkEqual("at most one run", true, fleetTest.countRuns(key) <= 1)
	}
}

func (fleetTest *fleetTest) setOthersPaused(paused bool) {
	for _, vm := range fleetTest.fleet.VMs[1:] {
		if err := fleetTest.fleet.SetVMPaused(vm, paused); err != nil {
			fleetTest.Fatal(err)
		}
	}
}

// testGracefulStop checks that keys of a stopped issuer can still be used once each, through its peers and its replacement.
func (fleetTest *fleetTest) testGracefulStop(issuer int) {
	keys := fleetTest.fetchKeys(issuer)
	used, unused := keys.Keys[0], keys.Keys[1]
	fleetTest.checkEqual("before the stop", ran, fleetTest.sendRun(0, used, generousTimeout))
	if err := fleetTest.fleet.StopVM(fleetTest.Context(), fleetTest.fleet.VMs[issuer]); err != nil {
		fleetTest.Error(err)
	}
	for vm := range fleetTest.callers {
		if vm == issuer {
			continue
		}
		fleetTest.checkEqual(fmt.Sprintf("used key through VM %d", vm), ran, fleetTest.sendRun(vm, used, generousTimeout))
		fleetTest.checkEqual(fmt.Sprintf("unused key through VM %d", vm), ran, fleetTest.sendRun(vm, unused, generousTimeout))
	}
	if err := fleetTest.fleet.StartVM(fleetTest.Context(), fleetTest.fleet.VMs[issuer]); err != nil {
		fleetTest.Fatal(err)
	}
	fleetTest.awaitReady()
	fleetTest.checkEqual("through its replacement", ran, fleetTest.sendRun(issuer, unused, generousTimeout))
	fleetTest.checkEqual("runs", []int{1, 1}, []int{fleetTest.countRuns(used), fleetTest.countRuns(unused)})
}

// testKilledIssuer checks that no key of a killed issuer runs again: its work is unreachable first, and gone once the issuer
// has been replaced.
func (fleetTest *fleetTest) testKilledIssuer(issuer int) {
	keys := fleetTest.fetchKeys(issuer)
	used, unused := keys.Keys[0], keys.Keys[1]
	fleetTest.checkEqual("before the kill", ran, fleetTest.sendRun(issuer, used, generousTimeout))
	vm := fleetTest.fleet.VMs[issuer]
	fleetTest.fleet.KillVM(vm)
	fleetTest.checkEqual("used key", issuerUnreachable, fleetTest.sendRun(0, used, generousTimeout))
	fleetTest.checkEqual("unused key", issuerUnreachable, fleetTest.sendRun(0, unused, generousTimeout))
	if err := fleetTest.fleet.StartVM(fleetTest.Context(), vm); err != nil {
		fleetTest.Fatal(err)
	}
	fleetTest.awaitReady()
	fleetTest.checkEqual("used key after the replacement", issuerGone, fleetTest.sendRun(0, used, generousTimeout))
	fleetTest.checkEqual("unused key after the replacement", issuerGone, fleetTest.sendRun(0, unused, generousTimeout))
	fleetTest.checkEqual("runs", []int{1, 0}, []int{fleetTest.countRuns(used), fleetTest.countRuns(unused)})
}

func TestCrashingRequestOnRealProcesses(t *testing.T) {
	for _, interval := range []time.Duration{0, 100 * time.Millisecond} {
		t.Run(fmt.Sprintf("sent every %v", interval), func(t *testing.T) {
			startFleetTest(t).sendCrashingRequests("crasher", interval)
		})
	}
	t.Run("while a crash is recent", func(t *testing.T) {
		fleetTest := startFleetTest(t)
		fleetTest.sendCrashingRequests("crasher", 100*time.Millisecond)
		fleetTest.sendCrashingRequests("second-crasher", 100*time.Millisecond)
		const shards = 10
		fleetTest.checkEqual("fewer servers crash than one query uses", true, fleetTest.countCrashes("second-crasher") < shards)
	})
}

// sendCrashingRequests sends a request of the given kind that crashes backend servers, through all VMs in turn. It checks that
// the quarantine refuses the request and stops the crashes by the second half of the sends.
func (fleetTest *fleetTest) sendCrashingRequests(kind string, interval time.Duration) {
	const sends = 50
	ticker := time.NewTicker(max(interval, 1))
	defer ticker.Stop()
	request := swclient.SearchRequest{
		Caller: "treasurer-desk", Kind: kind, Index: "desk", Query: "kit crash:lab",
		Timeout: swclient.Duration(time.Second),
	}
	refused := 0
	crashesBefore := make([]int, sends+1)
	for send := range sends {
		<-ticker.C
		crashesBefore[send] = fleetTest.countCrashes(kind)
		var reply swclient.SearchReply
		if err := fleetTest.post(send%len(fleetTest.callers), swclient.PathSearch, generousTimeout, request, &reply); err != nil {
			fleetTest.Error(err)
		}
		if reply.Code == swcode.Quarantined {
			fleetTest.checkEqual("Ran of a quarantined request", swcode.RanNo, reply.Ran)
			refused++
		}
	}
	crashesBefore[sends] = fleetTest.countCrashes(kind)
	fleetTest.Logf("%d of %d sends refused, %d servers crashed; before each send: %v", refused, sends, crashesBefore[sends], crashesBefore)
	fleetTest.checkEqual("crashes during the second half", 0, crashesBefore[sends]-crashesBefore[sends/2])
	fleetTest.checkEqual("refusals at least in the second half", true, refused >= sends/2)
}

func (fleetTest *fleetTest) countCrashes(kind string) int {
	count := 0
	for _, record := range fleetTest.fleet.Journal.Records() {
		if record.Kind == kind && record.Outcome == swlabbackend.Crashed {
			count++
		}
	}
	return count
}
