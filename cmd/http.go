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
	// httpTimeout bounds requests of the command line beyond the timeout that they carry.
	httpTimeout = 5 * time.Second
	// maxReply is the largest reply that the command line reads, in bytes.
	maxReply = 64 << 20
)

// vmOptions say which VM a command talks to, and with which certificate.
type vmOptions struct {
	address     string
	ca          string
	certificate string
	key         string
}

func (options *vmOptions) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&options.address, "address", "http://127.0.0.1:8080", "URL of a VM or of the balancer")
	flags.StringVar(&options.ca, "ca", "", "PEM file of the authorities for https; the system's when empty")
	flags.StringVar(&options.certificate, "certificate", "", "PEM file of the caller's certificate, which proves its name")
	flags.StringVar(&options.key, "key", "", "PEM file of the certificate's private key")
}

// client returns an HTTP client with the certificates that the options name.
func (options *vmOptions) client() (*http.Client, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if options.ca != "" {
		pem, err := os.ReadFile(options.ca)
		if err != nil {
			return nil, errors.Wrap(err, "read --ca")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("--ca: %s holds no PEM certificate", options.ca)
		}
	}
	if options.certificate != "" || options.key != "" {
		certificate, err := tls.LoadX509KeyPair(options.certificate, options.key)
		if err != nil {
			return nil, errors.Wrap(err, "load --certificate and --key")
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config, Proxy: http.ProxyFromEnvironment}}, nil
}

// postSearch sends a search. Refusals come back as replies, not as errors.
func (options *vmOptions) postSearch(ctx context.Context, search swclient.SearchRequest) (swclient.SearchReply, error) {
	body, err := json.Marshal(search)
	if err != nil {
		return swclient.SearchReply{}, errors.Wrap(err, "encode search")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(search.Timeout)+httpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, options.address+swclient.PathSearch, bytes.NewReader(body))
	if err != nil {
		return swclient.SearchReply{}, errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	var reply swclient.SearchReply
	return reply, errors.Wrapf(options.exchange(request, &reply), "search at %s", options.address)
}

// getJSON fetches a path of a VM.
func (options *vmOptions) getJSON(ctx context.Context, path string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, options.address+path, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	return errors.Wrapf(options.exchange(request, target), "get %s from %s", path, options.address)
}

func (options *vmOptions) exchange(request *http.Request, target any) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxReply))
	return errors.Wrapf(decoder.Decode(target), "decode reply with status %s", response.Status)
}
