// Package swlabkeys_test tries at-most-once runs and quarantine on real processes behind fault-injecting proxies.
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

	// The program under test is built by TestMain; the import makes its changes void cached results of these tests.
	_ "github.com/sycamorewall/sycamorewall/cmd"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbuild"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabfleet"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabplatform"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// binary is the program under test.
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
	if err := swlabbuild.Program(context.Background(), binary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// trial is a fleet of nine processes and its callers' addresses.
type trial struct {
	*testing.T
	fleet   *swlabfleet.Fleet
	callers []string
}

func newTrial(t *testing.T) *trial {
	t.Helper()
	user, _ := swlabfleet.FindUser("kowhai")
	fleet, err := swlabfleet.Start(t.Context(), swlabfleet.Config{User: user, Seed: 1, Launch: swlabfleet.LaunchBinary(binary, t.TempDir())})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	trial := &trial{T: t, fleet: fleet, callers: fleet.CallerURLs()}
	trial.awaitReady()
	return trial
}

func (trial *trial) awaitReady() {
	trial.Helper()
	if err := trial.fleet.AwaitReady(trial.Context()); err != nil {
		trial.Fatal(err)
	}
}

// post sends a body to a VM and decodes the reply. Without a reply the error says why.
func (trial *trial) post(vm int, path string, timeout time.Duration, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(trial.Context(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, trial.callers[vm]+path, bytes.NewReader(data))
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

func (trial *trial) keys(vm int) swclient.KeysReply {
	trial.Helper()
	var reply swclient.KeysReply
	err := trial.post(vm, swclient.PathKeys, 10*time.Second, swclient.KeysRequest{Caller: "treasurer-desk", Count: 4}, &reply)
	if err != nil || reply.Code != swcode.OK {
		trial.Fatalf("no keys of VM %d: %v, %v", vm, err, reply.Err())
	}
	return reply
}

func matchUnder(key string, timeout time.Duration) swclient.RunRequest {
	request := swclient.RunRequest{Key: key}
	request.Caller, request.Kind, request.Index, request.Query = "treasurer-desk", kindOf(key), "levy", "rent"
	request.Limit = 1
	request.Timeout = swclient.Duration(timeout)
	return request
}

// kindOf gives each key a kind of work of its own, by which its runs are counted whatever key the backend server saw.
func kindOf(key string) string {
	return fmt.Sprintf("match-%08x", crc32.ChecksumIEEE([]byte(key)))
}

type verdict struct {
	Code swcode.Code
	Ran  swcode.Ran
}

var (
	ran         = verdict{swcode.OK, swcode.RanYes}
	unreachable = verdict{swcode.IssuerUnreachable, swcode.RanUnknown}
	gone        = verdict{swcode.IssuerGone, swcode.RanUnknown}
)

const enough = 10 * time.Second

// run sends a payment match through a VM.
func (trial *trial) run(vm int, key string, timeout time.Duration) verdict {
	var reply swclient.SearchReply
	if err := trial.post(vm, swclient.PathRuns, timeout+10*time.Second, matchUnder(key, timeout), &reply); err != nil {
		trial.Logf("no reply of VM %d: %v", vm, err)
		return verdict{swcode.OutcomeUnknown, swcode.RanUnknown}
	}
	return verdict{reply.Code, reply.Ran}
}

func (trial *trial) check(what string, want, got any) {
	trial.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		trial.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// runs counts the runs under a key at the backend servers. The index of the payment matches has one shard.
func (trial *trial) runs(key string) int {
	return trial.runsSince(key, time.Time{})
}

// runsSince counts the runs that began after a time. A process that is being paused may still begin what it has read.
func (trial *trial) runsSince(key string, since time.Time) int {
	count := 0
	for _, record := range trial.fleet.Journal.Records() {
		if record.Kind == kindOf(key) && record.Started.After(since) {
			count++
		}
	}
	return count
}

// resend sends a payment match again until its issuer is reached, as callers do.
func (trial *trial) resend(vm int, key string) verdict {
	for {
		verdict := trial.run(vm, key, enough)
		if verdict != unreachable || trial.Context().Err() != nil {
			return verdict
		}
	}
}

func (trial *trial) everywhere(key string, want verdict) {
	trial.Helper()
	for vm := range trial.callers {
		trial.check(fmt.Sprintf("through VM %d", vm), want, trial.run(vm, key, enough))
	}
}

func TestRunsAtMostOnceOnRealProcesses(t *testing.T) {
	trial := newTrial(t)
	t.Run("resend at once through every VM", func(t *testing.T) {
		trial.T = t
		key := trial.keys(0).Keys[0]
		group := swgroup.New(t.Context())
		verdicts := make([]verdict, len(trial.callers))
		for vm := range trial.callers {
			group.Go(func(context.Context) { verdicts[vm] = trial.run(vm, key, enough) })
		}
		group.Wait()
		for vm := range verdicts {
			trial.check(fmt.Sprintf("through VM %d", vm), ran, verdicts[vm])
		}
		trial.check("runs", 1, trial.runs(key))
	})
	t.Run("own key while answers of the platform are lost", func(t *testing.T) {
		trial.T = t
		trial.fleet.Platform.SetFault(swlabplatform.Fault{LoseAnswers: 1})
		first := trial.run(0, "invoice 17", enough)
		trial.fleet.Platform.SetFault(swlabplatform.Fault{})
		t.Logf("while answers are lost: %v", first)
		trial.everywhere("invoice 17", ran)
		trial.check("runs", 1, trial.runs("invoice 17"))
	})
	t.Run("issuer paused past the timeout", func(t *testing.T) { trial.T = t; trial.pausedIssuer(1) })
	t.Run("owners of backend servers paused past the timeout", func(t *testing.T) { trial.T = t; trial.pausedOwners() })
	t.Run("partition between resend and issuer", func(t *testing.T) {
		trial.T = t
		key := trial.keys(0).Keys[0]
		trial.fleet.SetPeerPartition(trial.fleet.VMs[0].DataCentre.Name, true)
		trial.check("from another data centre", unreachable, trial.run(8, key, enough))
		trial.check("from its own", ran, trial.run(1, key, enough))
		trial.fleet.SetPeerPartition(trial.fleet.VMs[0].DataCentre.Name, false)
		for vm := range trial.callers {
			trial.check(fmt.Sprintf("through VM %d", vm), ran, trial.resend(vm, key))
		}
		trial.check("runs", 1, trial.runs(key))
	})
	t.Run("graceful stop hands keys over", func(t *testing.T) { trial.T = t; trial.gracefulStop(2) })
	t.Run("issuer killed and replaced", func(t *testing.T) { trial.T = t; trial.killedIssuer(3) })
}

// pausedIssuer stops the issuer's process from running while requests wait in its sockets, then lets it run on.
func (trial *trial) pausedIssuer(issuer int) {
	keys := trial.keys(issuer)
	passedOn, direct, after := keys.Keys[0], keys.Keys[1], keys.Keys[2]
	vm := trial.fleet.VMs[issuer]
	if err := trial.fleet.SetVMPaused(vm, true); err != nil {
		trial.Fatal(err)
	}
	request := matchUnder(direct, time.Second)
	request.StartBefore = keys.Clock + swclient.Duration(time.Second)
	var reply swclient.SearchReply
	trial.check("the issuer answers while paused", true, trial.post(issuer, swclient.PathRuns, time.Second, request, &reply) != nil)
	trial.check("resend of it", unreachable, trial.run(4, direct, time.Second))
	trial.check("another key", unreachable, trial.run(8, passedOn, time.Second))
	woken := time.Now()
	if err := trial.fleet.SetVMPaused(vm, false); err != nil {
		trial.Fatal(err)
	}
	trial.awaitReady()
	trial.check("the issuer runs on", ran, trial.run(issuer, after, enough))
	trial.check("runs after the issuer woke", []int{0, 0}, []int{trial.runsSince(passedOn, woken), trial.runsSince(direct, woken)})
	trial.check("resend after the issuer woke", ran, trial.run(4, passedOn, enough))
	trial.check("runs", 1, trial.runs(passedOn))
}

// pausedOwners stops every VM but the root, so that work waits in the sockets of the owners of backend servers.
func (trial *trial) pausedOwners() {
	keys := trial.keys(0).Keys
	trial.pauseOthers(true)
	group := swgroup.New(trial.Context())
	for _, key := range keys {
		group.Go(func(context.Context) { trial.Logf("while paused: %v", trial.run(0, key, time.Second)) })
	}
	group.Wait()
	woken := time.Now()
	trial.pauseOthers(false)
	trial.awaitReady()
	for vm := range trial.callers {
		trial.check("runs again", ran, trial.run(vm, trial.keys(0).Keys[0], enough))
	}
	for _, key := range keys {
		trial.check("runs after the owners woke", 0, trial.runsSince(key, woken))
		trial.check("runs at most once", true, trial.runs(key) <= 1)
	}
}

func (trial *trial) pauseOthers(paused bool) {
	for _, vm := range trial.fleet.VMs[1:] {
		if err := trial.fleet.SetVMPaused(vm, paused); err != nil {
			trial.Fatal(err)
		}
	}
}

func (trial *trial) gracefulStop(issuer int) {
	keys := trial.keys(issuer)
	used, unused := keys.Keys[0], keys.Keys[1]
	trial.check("before the stop", ran, trial.run(0, used, enough))
	if err := trial.fleet.StopVM(trial.Context(), trial.fleet.VMs[issuer]); err != nil {
		trial.Error(err)
	}
	for vm := range trial.callers {
		if vm == issuer {
			continue
		}
		trial.check(fmt.Sprintf("used key through VM %d", vm), ran, trial.run(vm, used, enough))
		trial.check(fmt.Sprintf("unused key through VM %d", vm), ran, trial.run(vm, unused, enough))
	}
	if err := trial.fleet.StartVM(trial.Context(), trial.fleet.VMs[issuer]); err != nil {
		trial.Fatal(err)
	}
	trial.awaitReady()
	trial.check("through its replacement", ran, trial.run(issuer, unused, enough))
	trial.check("runs", []int{1, 1}, []int{trial.runs(used), trial.runs(unused)})
}

func (trial *trial) killedIssuer(issuer int) {
	keys := trial.keys(issuer)
	used, unused := keys.Keys[0], keys.Keys[1]
	trial.check("before the kill", ran, trial.run(issuer, used, enough))
	vm := trial.fleet.VMs[issuer]
	trial.fleet.KillVM(vm)
	trial.check("used key", unreachable, trial.run(0, used, enough))
	trial.check("unused key", unreachable, trial.run(0, unused, enough))
	if err := trial.fleet.StartVM(trial.Context(), vm); err != nil {
		trial.Fatal(err)
	}
	trial.awaitReady()
	trial.check("used key after the replacement", gone, trial.run(0, used, enough))
	trial.check("unused key after the replacement", gone, trial.run(0, unused, enough))
	trial.check("runs", []int{1, 0}, []int{trial.runs(used), trial.runs(unused)})
}

func TestCrashingRequestOnRealProcesses(t *testing.T) {
	for _, every := range []time.Duration{0, 100 * time.Millisecond} {
		t.Run(fmt.Sprintf("sent every %v", every), func(t *testing.T) { newTrial(t).crash("crasher", every) })
	}
	t.Run("while a crash is recent", func(t *testing.T) {
		trial := newTrial(t)
		trial.crash("crasher", 100*time.Millisecond)
		trial.crash("second-crasher", 100*time.Millisecond)
		const shards = 10
		trial.check("fewer servers than a fan-out", true, trial.crashes("second-crasher") < shards)
	})
}

// crash sends a request of that kind that crashes servers through all VMs in turn.
func (trial *trial) crash(kind string, every time.Duration) {
	const sends = 50
	ticker := time.NewTicker(max(every, 1))
	defer ticker.Stop()
	request := swclient.SearchRequest{Caller: "treasurer-desk", Kind: kind, Index: "desk", Query: "kit crash:lab", Timeout: swclient.Duration(time.Second)}
	refused := 0
	crashesBefore := make([]int, sends+1)
	for send := range sends {
		<-ticker.C
		crashesBefore[send] = trial.crashes(kind)
		var reply swclient.SearchReply
		if err := trial.post(send%len(trial.callers), swclient.PathSearch, enough, request, &reply); err != nil {
			trial.Error(err)
		}
		if reply.Code == swcode.Quarantined {
			trial.check("Ran of a refusal", swcode.RanNo, reply.Ran)
			refused++
		}
	}
	crashesBefore[sends] = trial.crashes(kind)
	trial.Logf("%d of %d sends refused, %d servers crashed; before each send: %v", refused, sends, crashesBefore[sends], crashesBefore)
	trial.check("crashes during the second half", 0, crashesBefore[sends]-crashesBefore[sends/2])
	trial.check("refusals at least in the second half", true, refused >= sends/2)
}

func (trial *trial) crashes(kind string) int {
	count := 0
	for _, record := range trial.fleet.Journal.Records() {
		if record.Kind == kind && record.Outcome == swlabbackend.Crashed {
			count++
		}
	}
	return count
}
