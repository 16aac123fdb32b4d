package swplatform

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestUnchangedVMListIsNotSentAgain(t *testing.T) {
	lists := []string{`{"VMs":[{"Name":"a"},{"Name":"b"}]}`, `{"VMs":[{"Name":"c"}]}`, `{"VMs":[]}`}
	current := 0
	var statuses []int
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		tag := `"` + lists[current] + `"`
		writer.Header().Set("ETag", tag)
		if request.Header.Get("If-None-Match") == tag {
			statuses = append(statuses, http.StatusNotModified)
			writer.WriteHeader(http.StatusNotModified)
			return
		}
		statuses = append(statuses, http.StatusOK)
		_, _ = writer.Write([]byte(lists[current]))
	}))
	defer server.Close()
	client, err := New(Config{URL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var first []VM
	var got [][]string
	for _, list := range []int{0, 0, 1, 1, 2, 2} {
		current = list
		vms, err := client.VMs(t.Context(), "a")
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = vms
		}
		names := []string{}
		for _, vm := range vms {
			names = append(names, vm.Name)
		}
		got = append(got, names)
	}
	if diff := cmp.Diff([][]string{{"a", "b"}, {"a", "b"}, {"c"}, {"c"}, {}, {}}, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]int{200, 304, 200, 304, 200, 304}, statuses); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff("a", first[0].Name); diff != "" {
		t.Error("a later list overwrote an earlier one: " + diff)
	}
}
