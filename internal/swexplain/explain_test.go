package swexplain

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestExplainFindsTheCauseOfFailedRequests explains the requests of docs/OPERATIONS.md from the log of a simulated incident.
func TestExplainFindsTheCauseOfFailedRequests(t *testing.T) {
	for name, test := range map[string]struct{ request, message, cause string }{
		"refused": {
			"fe632e09908be909", "refused",
			"too few services had a reachable replica; Without lists the services without one",
		},
		"shards missing": {
			"1058dae02e01d91d", "answered in part",
			"the answer was sent at the route's target latency without dera69f: 2 attempts still without an answer",
		},
		"failed after it was sent": {
			"719eb66fe3d9c296", "not answered", "1 attempts with a broken connection",
		},
	} {
		t.Run(name, func(t *testing.T) {
			log, err := os.Open("testdata/incident.log")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = log.Close() }()
			explanation, err := Explain(test.request, log)
			if err != nil {
				t.Fatal(err)
			}
			got := []string{explanation.RequestLines[0].Message, explanation.Cause}
			if diff := cmp.Diff([]string{test.message, test.cause}, got); diff != "" {
				t.Error("message and cause (-want +got):\n" + diff)
			}
			if len(explanation.RelatedLines) == 0 {
				t.Error("there are no related lines")
			}
		})
	}
}

// TestExplainTellsOfSharedObservations guards against an outcome whose cause hides that the replicas were known to lose answers.
func TestExplainTellsOfSharedObservations(t *testing.T) {
	line := `{"Time":"2026-01-01T00:00:02Z","VM":"b","Request":"r","Message":"not answered","Code":"BackendFailed",
		"Attempts":["s1 a Near#3 +0s 12ms Broken","s1 b Far/own_dearer/shared:0.38,0.00,0.00,5#7 +12ms 30ms Broken"],"Denied":1}`
	explanation, err := Explain("r", strings.NewReader(strings.ReplaceAll(line, "\n", "")))
	if err != nil {
		t.Fatal(err)
	}
	want := "2 attempts with a broken connection, 1 hedges or retries denied by the shared budget, " +
		"1 of these attempts at replicas at which this VM or others had just seen losses, rejections or slow answers"
	if diff := cmp.Diff(want, explanation.Cause); diff != "" {
		t.Errorf("cause (-want +got):\n%s", diff)
	}
}

// TestExplainTellsFailuresFromRejections guards against an outcome that hides why the client got no rejection when a replica sent one.
func TestExplainTellsFailuresFromRejections(t *testing.T) {
	line := `{"Time":"2026-01-01T00:00:02Z","VM":"b","Request":"r","Message":"not answered","Status":502,"Code":"BackendFailed",` +
		`"Ran":"Unknown","Attempts":["s a Near#3 +0s 12ms 503 Shed","s b Near#7 +12ms 30ms 503 UnprovenRejection"]}`
	explanation, err := Explain("r", strings.NewReader(line))
	if err != nil {
		t.Fatal(err)
	}
	want := "1 attempts rejected by a replica, " +
		"1 attempts that failed at a replica with the status of a rejection, without its statement that the request has not run"
	if diff := cmp.Diff(want, explanation.Cause); diff != "" {
		t.Errorf("cause (-want +got):\n%s", diff)
	}
}

func TestLinesOfSeveralVMsAreSortedByTime(t *testing.T) {
	first := `{"Time":"2026-01-01T00:00:02Z","VM":"b","Request":"r","Message":"refused","Code":"NotReady"}`
	second := `12.5 a {"Time":"2026-01-01T00:00:01Z","VM":"a","Request":"r","Message":"refused","Code":"QueueFull"}`
	explanation, err := Explain("r", strings.NewReader(first), strings.NewReader(second))
	if err != nil {
		t.Fatal(err)
	}
	got := []string{explanation.RequestLines[0].VM, explanation.RequestLines[1].VM, explanation.Cause}
	if diff := cmp.Diff([]string{"a", "b", "the VM had no configuration yet"}, got); diff != "" {
		t.Error("VMs and cause (-want +got):\n" + diff)
	}
	if _, err := Explain("other", strings.NewReader(first)); !errors.Is(err, ErrNotFound) {
		t.Errorf("error %v, want %v", err, ErrNotFound)
	}
}

// TestEmptyAttemptIsIgnored explains a line that was cut in transit.
func TestEmptyAttemptIsIgnored(t *testing.T) {
	line := `{"Time":"2026-01-01T00:00:02Z","VM":"b","Request":"r","Message":"not answered","Attempts":["","s i-1 Near +0s 1ms Shed"]}`
	explanation, err := Explain("r", strings.NewReader(line))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("1 attempts rejected by a replica", explanation.Cause); diff != "" {
		t.Error("cause (-want +got):\n" + diff)
	}
}

// TestRefusalShowsWhatTheServicesReplicasSaid explains a request that was refused because the only replica of a service wanted nothing.
func TestRefusalShowsWhatTheServicesReplicasSaid(t *testing.T) {
	log := `{"Time":"2026-01-01T00:00:01Z","VM":"b","Replica":"i-1","Service":"s","InResponseTo":"r","Message":"a replica wants no requests for a while"}
{"Time":"2026-01-01T00:00:01Z","VM":"b","Replica":"i-2","Service":"other","Message":"a replica says that it leaves"}
{"Time":"2026-01-01T00:00:02Z","VM":"b","Request":"r","Message":"refused","Code":"NoReplica","Without":["s"]}`
	explanation, err := Explain("r", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var related []string
	for _, line := range explanation.RelatedLines {
		related = append(related, line.Replica)
	}
	if diff := cmp.Diff([]string{"i-1"}, related); diff != "" {
		t.Error("replicas in related lines (-want +got):\n" + diff)
	}
	if diff := cmp.Diff(1, len(explanation.RequestLines)); diff != "" {
		t.Error("lines of the request (-want +got):\n" + diff)
	}
}

// TestRelatedLinesNameTheStoresPosition guards against explanations that can't tell on which side of the store's return from an older copy a
// change was received.
func TestRelatedLinesNameTheStoresPosition(t *testing.T) {
	const log = `{"VM":"a","Request":"r","Status":404,"Code":"NotFound","Time":"2026-01-02T03:04:05Z","Message":"refused"}
{"VM":"a","Config":9,"Position":{"Era":2,"Revision":61},"Time":"2026-01-02T03:04:04Z","Message":"configuration in force"}
{"VM":"a","Former":1,"Era":2,"Time":"2026-01-02T03:04:03Z","Message":"the platform's store has come back from an older copy"}
`
	explanation, err := Explain("r", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, line := range explanation.RelatedLines {
		got = append(got, strings.TrimSpace(line.Message+" "+line.Position.String()))
	}
	want := []string{"the platform's store has come back from an older copy", "configuration in force era 2 revision 61"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("related lines (-want +got):\n" + diff)
	}
}

// TestRefusalsOfTenantsAreExplained guards against refusals that do not tell a tenant's own excess from a lack of capacity.
func TestRefusalsOfTenantsAreExplained(t *testing.T) {
	for fields, want := range map[string]string{
		`"Code":"UnknownKey"`:             "the request carried no key of a tenant: none, an unknown or withdrawn one, or one that several tenants hold",
		`"Code":"OverQuota","Tenant":"a"`: "the tenant was over its quota, or this VM held no use of it",
		`"Code":"QueueFull","Tenant":"a","Ahead":3`: "the replicas were at capacity, and the requests queued ahead would have taken too long; " +
			"tenant a was behind other tenants, of which 3 requests went before this one",
		`"Code":"ShedByPriority","Tenant":"a","Admitted":0.4`: "shards of the route were overloaded, and whole searches were refused to keep capacity for others; " +
			"tenant a offered more than its share, and 40 in 100 of its searches were admitted",
	} {
		explanation, err := Explain("r", strings.NewReader(`{"Request":"r","Message":"refused",`+fields+`}`))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, explanation.Cause); diff != "" {
			t.Errorf("%s (-want +got):\n%s", fields, diff)
		}
	}
}

// TestEvacuationExplainsLaterRefusals guards against a refusal or an attempt whose explanation does not name the evacuation, which may have begun
// long before.
func TestEvacuationExplainsLaterRefusals(t *testing.T) {
	const log = `{"Time":"2026-01-01T00:00:01Z","VM":"a","DataCentre":"z","Message":"a data centre is evacuated"}
{"Time":"2026-01-01T00:00:01Z","VM":"b","DataCentre":"z","Message":"a data centre is evacuated"}
{"Time":"2026-01-01T00:05:00Z","VM":"a","Request":"refused","Message":"refused","Code":"Evacuated","Without":["s"],"Capacity":["i-1 Near Evacuated"]}
{"Time":"2026-01-01T00:05:00Z","VM":"a","Request":"homeless","Message":"refused","Code":"NotHome","Without":["s"],"Homes":["r"]}
{"Time":"2026-01-01T00:05:00Z","VM":"a","Request":"sent","Message":"not answered","Code":"BackendFailed","Attempts":["s i-1 Near +0s 1ms Evacuated","s i-2 Far +0s 1ms Cold"]}`
	type explained struct {
		DataCentres []string
		Cause       string
	}
	for id, want := range map[string]explained{
		"refused":  {[]string{"z"}, "every data centre that could serve the request is evacuated; Without lists the services without a replica elsewhere"},
		"homeless": {nil, "no replica of a service stands in the regions that may serve the request (Homes); Without lists the services without one"},
		"sent": {nil, "1 attempts not sent, as the replica is cold and had got what it takes then, " +
			"1 attempts not sent, as the replica's data centre is evacuated"},
	} {
		explanation, err := Explain(id, strings.NewReader(log))
		if err != nil {
			t.Fatal(err)
		}
		got := explained{Cause: explanation.Cause}
		for _, line := range explanation.RelatedLines {
			got.DataCentres = append(got.DataCentres, line.DataCentre)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", id, diff)
		}
	}
}

// TestDeniedRepeatsNameTheReason guards against taking repeats that this VM could not borrow a use for as a budget that is used up.
func TestDeniedRepeatsNameTheReason(t *testing.T) {
	got := []string{describeAttempts(&Line{Denied: 3}), describeAttempts(&Line{Denied: 3, DeniedWithoutUse: 2})}
	want := []string{
		"3 hedges or retries denied by the shared budget",
		"3 hedges or retries denied by the shared budget (2 because this VM held nothing of it)",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("causes (-want +got):\n" + diff)
	}
}
