package swlabscenario_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbuild"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabcheck"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabfleet"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabplatform"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabscenario"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

var (
	longSet = flag.Bool("long", false, "run every scenario for every user with real processes")
	seeds   = flag.Uint64("seeds", 3, "number of seeds for each scenario and user with -long")
	// binary is the path of the program under test. TestMain builds it.
	binary string
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "sycamorewall-test-")
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

// startFleet starts a fleet of real processes.
func startFleet(t *testing.T, user swlabfleet.User, change func(config *swlabfleet.Config)) *swlabfleet.Fleet {
	t.Helper()
	config := swlabfleet.Config{User: user, Seed: 1, Launch: swlabfleet.LaunchBinary(binary, t.TempDir())}
	if change != nil {
		change(&config)
	}
	fleet, err := swlabfleet.Start(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet
}

func awaitReady(t *testing.T, fleet *swlabfleet.Fleet, count int) {
	t.Helper()
	if err := fleet.Balancer.AwaitReady(t.Context(), count); err != nil {
		t.Fatal(err)
	}
}

func findUser(t *testing.T, name string) swlabfleet.User {
	t.Helper()
	user, ok := swlabfleet.FindUser(name)
	if !ok {
		t.Fatalf("no user %s", name)
	}
	return user
}

// search sends a query for all matches to one VM. The timeout is long enough for every retry.
func search(t *testing.T, fleet *swlabfleet.Fleet, target swlabload.Target, stream *swlabload.Stream, query string) swclient.SearchReply {
	t.Helper()
	request := swclient.SearchRequest{
		Caller: stream.Caller, Kind: stream.Kind, Index: stream.Index, Query: query, Limit: 1000, Timeout: swclient.Duration(20 * time.Second),
	}
	var answer swclient.SearchReply
	if _, err := fleet.Balancer.Post(t.Context(), target, swclient.PathSearch, request, &answer); err != nil {
		t.Errorf("%s: %v", target.Name, err)
	}
	return answer
}

// checkAgainstScan checks that the answer of a VM is whole and equals the direct scan of its snapshot.
func checkAgainstScan(t *testing.T, fleet *swlabfleet.Fleet, target swlabload.Target, stream *swlabload.Stream, query string) {
	t.Helper()
	answer := search(t, fleet, target, stream, query)
	if answer.Code != swcode.OK {
		t.Errorf("%s, %s, %q: %s: %s", target.Name, stream.Index, query, answer.Code, answer.Message)
		return
	}
	snapshot, err := fleet.Snapshot(stream.Index, answer.Snapshot)
	if err != nil {
		t.Error(err)
		return
	}
	scan := snapshot.Scan(query, 1000)
	got := swlabbackend.Result{Hits: []swlabbackend.Hit{}, Counts: map[string]int64{}}
	shards := make(map[int]bool)
	for _, hit := range answer.Hits {
		got.Hits = append(got.Hits, swlabbackend.Hit{ID: hit.ID, Score: hit.Score, Text: hit.Text})
		shards[hit.Shard] = true
	}
	for name, count := range answer.Counts {
		got.Counts[name] = count
	}
	if diff := cmp.Diff(scan, got); diff != "" {
		t.Errorf("%s, %s, %q: %s", target.Name, stream.Index, query, diff)
	}
	total, count := snapshot.TotalDocuments(), len(snapshot.Shards)
	want := swclient.Coverage{Documents: total, Of: total, Shards: count, OfShards: count}
	if diff := cmp.Diff(want, answer.Coverage); diff != "" {
		t.Errorf("%s, %s, %q: %s", target.Name, stream.Index, query, diff)
	}
	if len(shards) != count {
		t.Errorf("%s, %s, %q: hits of %d shards, want %d", target.Name, stream.Index, query, len(shards), count)
	}
}

func TestSearchThroughThreeDataCentresEqualsDirectScan(t *testing.T) {
	for _, user := range swlabfleet.Users() {
		t.Run(user.Name, func(t *testing.T) {
			fleet := startFleet(t, user, nil)
			awaitReady(t, fleet, len(fleet.VMs))
			for _, target := range fleet.Targets() {
				for i := range user.Streams {
					checkAgainstScan(t, fleet, target, &user.Streams[i], "levy")
					checkAgainstScan(t, fleet, target, &user.Streams[i], "belt count:state count:month")
				}
			}
		})
	}
}

func TestOthersAnswerWhileAVMIsKilled(t *testing.T) {
	user := findUser(t, "avellana")
	fleet := startFleet(t, user, nil)
	awaitReady(t, fleet, len(fleet.VMs))
	killed := fleet.VM(0, 0)
	fleet.KillVM(killed)
	for _, target := range fleet.Targets() {
		if target.Name != killed.Name {
			checkAgainstScan(t, fleet, target, &user.Streams[0], "levy")
		}
	}
	if err := fleet.StartVM(t.Context(), killed); err != nil {
		t.Fatal(err)
	}
	awaitReady(t, fleet, len(fleet.VMs))
	checkAgainstScan(t, fleet, fleet.Targets()[0], &user.Streams[0], "levy")
}

func TestPartitionedDataCentreServesAndCatchesUp(t *testing.T) {
	user := findUser(t, "avellana")
	fleet := startFleet(t, user, nil)
	awaitReady(t, fleet, len(fleet.VMs))
	cutOff := user.DataCentres[0].Name
	fleet.SetPeerPartition(cutOff, true)
	fleet.SetPlatformPartition(cutOff, true)
	if err := fleet.SetRules("refuse Caller=nobody   # lab\n" + user.Rules); err != nil {
		t.Fatal(err)
	}
	for _, target := range fleet.Targets() {
		for i := range user.Streams {
			checkAgainstScan(t, fleet, target, &user.Streams[i], "levy")
		}
	}
	fleet.SetPeerPartition(cutOff, false)
	fleet.SetPlatformPartition(cutOff, false)
	changes := fleet.RuleChanges()
	accepted := changes[len(changes)-1].Version
	for _, target := range fleet.Targets() {
		for version := uint64(0); version < accepted; {
			answer := search(t, fleet, target, &user.Streams[0], "levy")
			if answer.RuleVersion < version || t.Failed() {
				t.Fatalf("%s went back from rule version %d to %d", target.Name, version, answer.RuleVersion)
			}
			version = answer.RuleVersion
		}
	}
}

func TestOthersAnswerWhileAVMIsPaused(t *testing.T) {
	user := findUser(t, "kowhai")
	fleet := startFleet(t, user, nil)
	awaitReady(t, fleet, len(fleet.VMs))
	paused := fleet.VM(1, 0)
	if err := fleet.SetVMPaused(paused, true); err != nil {
		t.Fatal(err)
	}
	for _, target := range fleet.Targets() {
		if target.Name != paused.Name {
			checkAgainstScan(t, fleet, target, &user.Streams[0], "levy")
		}
	}
	if err := fleet.SetVMPaused(paused, false); err != nil {
		t.Fatal(err)
	}
	awaitReady(t, fleet, len(fleet.VMs))
	checkAgainstScan(t, fleet, fleet.Targets()[3], &user.Streams[0], "levy")
}

func TestVMsBecomeReadyWhenThePlatformReturns(t *testing.T) {
	user := findUser(t, "kowhai")
	fleet := startFleet(t, user, func(config *swlabfleet.Config) {
		config.InitialPlatformFault = swlabplatform.Fault{Down: true}
	})
	if err := fleet.Balancer.AwaitLive(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, target := range fleet.Targets() {
		answer := search(t, fleet, target, &user.Streams[0], "levy")
		if answer.Code != swcode.NotReady || answer.Ran != swcode.RanNo {
			t.Errorf("%s without rules: %s, %s", target.Name, answer.Code, answer.Ran)
		}
	}
	fleet.Platform.SetFault(swlabplatform.Fault{})
	awaitReady(t, fleet, len(fleet.VMs))
	fleet.Platform.SetFault(swlabplatform.Fault{Down: true})
	if err := fleet.StopVM(t.Context(), fleet.VM(1, 1)); err != nil {
		t.Error(err)
	}
	if err := fleet.StartVM(t.Context(), fleet.VM(1, 1)); err != nil {
		t.Fatal(err)
	}
	for _, target := range fleet.Targets() {
		awaitReady(t, fleet, len(fleet.VMs))
		checkAgainstScan(t, fleet, target, &user.Streams[0], "levy")
	}
}

func TestRollingRestartUnderLoadInterruptsNoRequest(t *testing.T) {
	user := findUser(t, "kowhai")
	fleet := startFleet(t, user, nil)
	awaitReady(t, fleet, len(fleet.VMs))
	ctx, cancel := context.WithCancel(t.Context())
	group := swgroup.New(t.Context())
	var results resultCollector
	begin := time.Now()
	group.Go(func(context.Context) {
		swlabload.Run(t.Context(), swlabload.Config{
			Balancer: fleet.Balancer, Streams: []*swlabload.Stream{&user.Streams[0], &user.Streams[1]},
			StopContext: ctx, ClientDelay: user.ClientDelay, Seed: 1, OnResult: results.add,
		})
	})
	for _, vm := range fleet.VMs {
		if err := fleet.StopVM(t.Context(), vm); err != nil {
			t.Error(err)
		}
		if err := fleet.StartVM(t.Context(), vm); err != nil {
			t.Fatal(err)
		}
		awaitReady(t, fleet, len(fleet.VMs))
	}
	cancel()
	group.Wait()
	verdict := swlabcheck.Check(&swlabcheck.Evidence{
		Results: results.results, Records: fleet.Journal.Records(), Arrivals: fleet.Journal.Arrivals(), Snapshots: fleet.Snapshots,
		PlannedStops: []swlabcheck.Window{{VM: "each in turn", From: begin, Until: time.Now()}},
	})
	if diff := cmp.Diff(swlabcheck.Violations{}, verdict.Violations); diff != "" {
		t.Errorf("%s%v", diff, verdict.Examples)
	}
	for i := range results.results {
		if result := &results.results[i]; result.Err != nil {
			t.Errorf("%s through %s got no answer: %v", result.Tag, result.Target, result.Err)
		}
	}
}

func TestEveryScenarioKeepsTheGuarantees(t *testing.T) {
	if !*longSet {
		t.Skip("the long set needs -long")
	}
	for _, scenario := range swlabscenario.All() {
		for _, user := range swlabfleet.Users() {
			for seed := range *seeds {
				t.Run(fmt.Sprintf("%s/%s/%d", scenario.Name, user.Name, seed+1), func(t *testing.T) {
					report, err := swlabscenario.Run(t.Context(), scenario, swlabscenario.Options{
						User: user, Seed: seed + 1, Launch: swlabfleet.LaunchBinary(binary, t.TempDir()),
					})
					if err != nil {
						t.Fatal(err)
					}
					if diff := cmp.Diff(swlabcheck.Violations{}, report.Violations); diff != "" {
						t.Errorf("%s%v", diff, report.Examples)
					}
				})
			}
		}
	}
}
