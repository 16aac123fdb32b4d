package swplatform

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// Headers of conditional reads.
const (
	headerETag        = "ETag"
	headerIfNoneMatch = "If-None-Match"
)

// vmList is the latest VM list of a data centre and the entity tag of its response.
type vmList struct {
	etag string
	vms  []VM
}

// VMs returns the VMs of a data centre, or all VMs if dataCentre is empty. The platform does not send a list again that has
// not changed since the last call. The caller must not modify the list.
func (client *Client) VMs(ctx context.Context, dataCentre string) (vms []VM, err error) {
	last, _ := client.lists.Get(dataCentre)
	apiRequest := apiRequest{
		operation: "vms", method: http.MethodGet,
		path:  []string{"v1", "vms"},
		query: url.Values{"DataCentre": {dataCentre}},
	}
	if last.etag != "" {
		apiRequest.header = http.Header{headerIfNoneMatch: {last.etag}}
	}
	defer client.observe(apiRequest, time.Now(), &err)
	var response struct{ VMs *[]VM }
	etag, err := client.readWithETag(ctx, apiRequest, &response)
	if err != nil {
		return nil, err
	}
	if response.VMs == nil {
		return last.vms, nil
	}
	client.lists.Put(dataCentre, vmList{etag: etag, vms: *response.VMs})
	return *response.VMs, nil
}
