package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/pkg/swclient"
)

const (
	// httpTimeout bounds requests of the command line beyond the timeout that they carry.
	httpTimeout = 5 * time.Second
	// maxReply is the largest reply that the command line reads, in bytes.
	maxReply = 64 << 20
)

// postSearch sends a search. Refusals come back as replies, not as errors.
func postSearch(ctx context.Context, address string, search swclient.SearchRequest) (swclient.SearchReply, error) {
	body, err := json.Marshal(search)
	if err != nil {
		return swclient.SearchReply{}, errors.Wrap(err, "encode search")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(search.Timeout)+httpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+swclient.PathSearch, bytes.NewReader(body))
	if err != nil {
		return swclient.SearchReply{}, errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	var reply swclient.SearchReply
	return reply, errors.Wrapf(exchange(request, &reply), "search at %s", address)
}

// getJSON fetches a path of a VM.
func getJSON(ctx context.Context, address, path string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+path, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	return errors.Wrapf(exchange(request, target), "get %s from %s", path, address)
}

func exchange(request *http.Request, target any) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxReply))
	return errors.Wrapf(decoder.Decode(target), "decode reply with status %s", response.Status)
}
