package cmd

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/pkg/swclient"
)

const (
	// httpCallTimeout bounds an HTTP call to a VM. A search may take this long in addition to its own timeout.
	httpCallTimeout = 5 * time.Second
	// maxReplyBytes limits how much of a reply is read.
	maxReplyBytes = 64 << 20
	// maxHeaderBytes limits the header of a reply.
	maxHeaderBytes = 64 << 10
)

// vmOptions are the flags of commands that call a VM.
type vmOptions struct {
	address     string
	ca          string
	certificate string
	key         string
}

func (options *vmOptions) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&options.address, "address", "http://127.0.0.1:8080", "URL of a VM or of the balancer")
	flags.StringVar(&options.ca, "ca", "", "PEM file of the certificate authorities for https; the system's when empty")
	flags.StringVar(&options.certificate, "certificate", "", "PEM file of the client certificate that proves the caller's name")
	flags.StringVar(&options.key, "key", "", "PEM file of the private key of --certificate")
}

// client returns an HTTP client that uses the certificates in the options.
func (options *vmOptions) client() (*http.Client, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if options.ca != "" {
		pem, err := os.ReadFile(options.ca)
		if err != nil {
			return nil, errors.Wrap(err, "read --ca")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("--ca: %s contains no PEM certificate", options.ca)
		}
	}
	if options.certificate != "" || options.key != "" {
		certificate, err := tls.LoadX509KeyPair(options.certificate, options.key)
		if err != nil {
			return nil, errors.Wrap(err, "load --certificate and --key")
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: config, Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: maxHeaderBytes,
	}}, nil
}

// postSearch sends a search. A refusal is returned as a reply, not as an error.
func (options *vmOptions) postSearch(ctx context.Context, search swclient.SearchRequest) (swclient.SearchReply, error) {
	body, err := json.Marshal(search)
	if err != nil {
		return swclient.SearchReply{}, errors.Wrap(err, "encode search")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(search.Timeout)+httpCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, options.address+swclient.PathSearch, bytes.NewReader(body))
	if err != nil {
		return swclient.SearchReply{}, errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	var reply swclient.SearchReply
	return reply, errors.Wrapf(options.doJSON(request, &reply), "search at %s", options.address)
}

// getJSON fetches a path of a VM and decodes the reply into target.
func (options *vmOptions) getJSON(ctx context.Context, path string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, httpCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, options.address+path, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	return errors.Wrapf(options.doJSON(request, target), "get %s from %s", path, options.address)
}

// doJSON sends a request and decodes the JSON reply into target, whatever the reply's status is.
func (options *vmOptions) doJSON(request *http.Request, target any) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes))
	return errors.Wrapf(decoder.Decode(target), "decode reply with status %s", response.Status)
}
