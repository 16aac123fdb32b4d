package swlabplatform_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabplatform"
)

func startPlatform(t *testing.T, config swlabplatform.Config) *swlabplatform.Platform {
	t.Helper()
	platform, err := swlabplatform.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	return platform
}

func send(t *testing.T, method, url, body string, header http.Header) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

func ifMatch(version string) http.Header {
	return http.Header{"If-Match": {`"` + version + `"`}}
}

func TestConditionalWrites(t *testing.T) {
	platform := startPlatform(t, swlabplatform.Config{})
	url := platform.URL() + "/v1/objects/Rules/main"
	create := http.Header{"If-None-Match": {"*"}}
	steps := []struct {
		name, method, body string
		header             http.Header
		want               int
	}{
		{"update without object", http.MethodPut, `1`, ifMatch("1"), http.StatusNotFound},
		{"create", http.MethodPut, `1`, create, http.StatusCreated},
		{"create twice", http.MethodPut, `1`, create, http.StatusPreconditionFailed},
		{"update", http.MethodPut, `2`, ifMatch("1"), http.StatusOK},
		{"update on old version", http.MethodPut, `3`, ifMatch("1"), http.StatusPreconditionFailed},
		{"unconditional", http.MethodPut, `3`, nil, http.StatusPreconditionRequired},
		{"delete on old version", http.MethodDelete, ``, ifMatch("1"), http.StatusPreconditionFailed},
		{"delete", http.MethodDelete, ``, nil, http.StatusNoContent},
		{"read deleted", http.MethodGet, ``, nil, http.StatusNotFound},
		{"create again", http.MethodPut, `4`, create, http.StatusCreated},
	}
	for _, step := range steps {
		if got, _ := send(t, step.method, url, step.body, step.header); got != step.want {
			t.Errorf("%s: status %d, want %d", step.name, got, step.want)
		}
	}
	_, body := send(t, http.MethodGet, url, "", nil)
	if diff := cmp.Diff(`{"Kind":"Rules","Name":"main","Version":3,"Revision":4,"Value":4}`, body); diff != "" {
		t.Error(diff)
	}
	want := map[string]int64{swlabplatform.CallPut: 9, swlabplatform.CallGet: 2}
	if diff := cmp.Diff(want, platform.Calls()); diff != "" {
		t.Error(diff)
	}
}

func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	platform := startPlatform(t, swlabplatform.Config{})
	if status, _ := send(t, http.MethodPost, platform.URL()+"/fault", `{"LoseAnswers":1}`, nil); status != http.StatusNoContent {
		t.Fatalf("fault: status %d", status)
	}
	url := platform.URL() + "/v1/objects/Claim/a"
	if status, _ := send(t, http.MethodPut, url, `1`, http.Header{"If-None-Match": {"*"}}); status != 0 {
		t.Errorf("the response arrived, with status %d", status)
	}
	if _, ok := platform.Get("Claim", "a"); !ok {
		t.Error("the write took no effect")
	}
}

func TestStaleReadReturnsPreviousVersion(t *testing.T) {
	platform := startPlatform(t, swlabplatform.Config{})
	for i := range 3 {
		if _, err := platform.Put("Rules", "main", i); err != nil {
			t.Fatal(err)
		}
	}
	platform.SetFault(swlabplatform.Fault{StaleReads: true})
	object, _ := platform.Get("Rules", "main")
	if object.Version != 2 {
		t.Errorf("version %d, want 2", object.Version)
	}
}

func TestWatchReturnsLaterWrite(t *testing.T) {
	platform := startPlatform(t, swlabplatform.Config{})
	if _, err := platform.Put("Catalogue", "desk", "a"); err != nil {
		t.Fatal(err)
	}
	group := swgroup.New(context.Background())
	group.Go(func(context.Context) { _, _ = platform.Put("Catalogue", "desk", "b") })
	defer group.Wait()
	_, body := send(t, http.MethodGet, platform.URL()+"/v1/watch/Catalogue?After=1&Wait=30s", "", nil)
	var got struct{ Objects []swlabplatform.Object }
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatal(err)
	}
	want := []swlabplatform.Object{{Kind: "Catalogue", Name: "desk", Version: 2, Revision: 2, Value: []byte(`"b"`)}}
	if diff := cmp.Diff(want, got.Objects); diff != "" {
		t.Error(diff)
	}
	platform.Compact()
	if status, _ := send(t, http.MethodGet, platform.URL()+"/v1/watch/Catalogue?After=1&Wait=1ms", "", nil); status != http.StatusGone {
		t.Errorf("status %d, want 410", status)
	}
	if status, _ := send(t, http.MethodGet, platform.URL()+"/v1/watch/Catalogue?After=2&Wait=1ms", "", nil); status != http.StatusNoContent {
		t.Errorf("status %d, want 204", status)
	}
}

func TestVMListLags(t *testing.T) {
	platform := startPlatform(t, swlabplatform.Config{VMListLag: time.Hour})
	platform.SetVMs([]swlabplatform.VM{{Name: "a"}})
	platform.SetVMs([]swlabplatform.VM{{Name: "b"}})
	_, body := send(t, http.MethodGet, platform.URL()+"/v1/vms", "", nil)
	if !strings.Contains(body, `"Name":"a"`) || strings.Contains(body, `"Name":"b"`) {
		t.Errorf("the new list is visible before the lag: %s", body)
	}
}
