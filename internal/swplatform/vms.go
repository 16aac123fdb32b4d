package swplatform

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// Headers of conditional reads.
const (
	headerTag     = "ETag"
	headerNoMatch = "If-None-Match"
)

// vmList is the last VM list of a data centre, with the entity tag by which the platform knows it.
type vmList struct {
	tag string
	vms []VM
}

// VMs lists the VMs of a data centre, or all of them when dataCentre is empty. A list that has not changed since the last
// call costs a header. The caller must not change the list.
func (client *Client) VMs(ctx context.Context, dataCentre string) (vms []VM, err error) {
	last, _ := client.lists.Get(dataCentre)
	call := request{
		operation: "vms", method: http.MethodGet,
		path:  []string{"v1", "vms"},
		query: url.Values{"DataCentre": {dataCentre}},
	}
	if last.tag != "" {
		call.header = http.Header{headerNoMatch: {last.tag}}
	}
	defer client.observe(call, time.Now(), &err)
	var answer struct{ VMs *[]VM }
	tag, err := client.readTagged(ctx, call, &answer)
	if err != nil {
		return nil, err
	}
	if answer.VMs == nil {
		return last.vms, nil
	}
	client.lists.Put(dataCentre, vmList{tag: tag, vms: *answer.VMs})
	return *answer.VMs, nil
}
