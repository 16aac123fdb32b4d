package swlabsoak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabrule"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabusers"
)

// Headers that clients send for tenants. The second is the gateway's to set.
const (
	headerCredential = "X-Credential"
	headerTenant     = "X-Tenant-Id"
)

// featureInterval is the mean number of requests of a client for one to a route of a feature.
const featureInterval = 4

// sendToFeature sends a request to a route of one of the features, in some of the calls, and reports whether it did.
func (client *client) sendToFeature(ctx context.Context) bool {
	recorder := client.results.recorder
	var prefixes []string
	if recorder.has(swlabrule.Homes) && client.tenant() != abroadTenant {
		prefixes = append(prefixes, homePath, homeSearchPath, movingHomePath)
	}
	if recorder.has(swlabrule.Tenants) {
		prefixes = append(prefixes, publicPath)
	}
	if len(prefixes) == 0 || client.random.IntN(featureInterval) > 0 {
		return false
	}
	switch prefix := prefixes[client.random.IntN(len(prefixes))]; prefix {
	case publicPath, homeSearchPath:
		client.gather(ctx, prefix)
	default:
		client.get(ctx, prefix)
	}
	return true
}

// tenant returns the client's tenant, or an empty string without tenants.
func (client *client) tenant() string {
	if !client.results.recorder.has(swlabrule.Tenants) {
		return ""
	}
	return client.results.recorder.tenantOf(client.number)
}

// addTenant adds the headers of the client's tenant to a request, records it, and notes which statuses are right for it.
func (client *client) addTenant(request *http.Request, sent *request) {
	recorder := client.results.recorder
	if recorder == nil {
		return
	}
	recorded := swlabrule.Request{VM: recorder.vms[client.target], SentAt: sent.sentAt}
	if recorder.has(swlabrule.Tenants) {
		// The gateway must not forward a name that a client claims.
		request.Header.Set(headerTenant, forgedTenant)
		if !strings.HasPrefix(request.URL.Path, publicPath) {
			recorded.Tenant = client.tenant()
			recorded.Key = recorder.chooseKey(recorded.Tenant, client.random)
			request.Header.Set(headerCredential, recorded.Key)
		}
	}
	switch recorded.Tenant {
	case rotatingTenant:
		sent.refusals = []int{http.StatusUnauthorized}
	case hotTenant:
		sent.refusals = []int{http.StatusTooManyRequests}
	}
	recorder.addRequest(sent.id, recorded)
}

// get sends a GET request to a route with a single service.
func (client *client) get(ctx context.Context, prefix string) {
	path := fmt.Sprintf("%s%s-%d", prefix, client.name, client.requestCount)
	header, responseBody, sent := client.send(ctx, http.MethodGet, path, "")
	if sent.err != nil || sent.status != http.StatusOK {
		return
	}
	service, _, _ := strings.Cut(header.Get("X-Server-Stamp"), ".")
	if header.Get("X-Server-Stamp") != swlabusers.Stamp(service, sent.id) || !bytes.Equal(responseBody, swlabusers.PartRecords(service, path)) {
		client.results.addViolation("MIXED: the response to %s is that to another request", sent.id)
	}
}

// isRightRefusal reports whether a feature makes the status the right answer to the request.
func (request *request) isRightRefusal() bool {
	return slices.Contains(request.refusals, request.status)
}

// findRunsOfRefused describes a request that ran although it was refused for its key or its tenant's quota.
func (request *request) findRunsOfRefused(runs []swlabusers.Run) []string {
	if !request.isRightRefusal() || len(runs) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("REFUSED: %s ran despite the response %d: %v", request.id, request.status, runs)}
}

// checkLogs checks that no log of a VM holds a key.
func (fleet *fleet) checkLogs(results *results) {
	if !results.recorder.has(swlabrule.Tenants) {
		return
	}
	for _, vm := range fleet.vms {
		found, err := containsText(filepath.Join(fleet.directory, vm.name+".log"), keyPrefix)
		switch {
		case err != nil:
			results.addViolation("KEYLOG: the log of %s is not readable: %v", vm.name, err)
		case found:
			results.addViolation("KEYLOG: the log of %s holds a key", vm.name)
		}
	}
}

// containsText reports whether a file contains a text.
func containsText(path, text string) (bool, error) {
	data, err := os.ReadFile(path)
	return bytes.Contains(data, []byte(text)), err
}
