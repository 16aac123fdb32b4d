package swhttp_test

import (
	"crypto/tls"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swhttp"
	"github.com/sycamorewall/sycamorewall/internal/swpeer/swpeertest"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

func TestCallerIsIdentifiedByItsCertificate(t *testing.T) {
	authority := swpeertest.NewAuthority(t)
	own := authority.TLS(t, "vm-1")
	url := newServer(t, func(config *swhttp.Config) {
		config.TrustCallerField = false
		config.TLS = &tls.Config{
			MinVersion:   tls.VersionTLS12,
			Certificates: own.Certificates,
			ClientCAs:    own.ClientCAs,
			ClientAuth:   tls.VerifyClientCertIfGiven,
		}
	})
	url = strings.Replace(url, "http:", "https:", 1)
	cases := map[string]struct {
		body        string
		certificate bool
		code        swcode.Code
		counts      map[string]int64
	}{
		"certificate alone":              {`{"Kind":"check","Index":"books"}`, true, swcode.OK, map[string]int64{"desk": 10}},
		"certificate and its name":       {`{"Caller":"desk","Kind":"check","Index":"books"}`, true, swcode.OK, map[string]int64{"desk": 10}},
		"certificate and another's name": {`{"Caller":"export","Kind":"check","Index":"books"}`, true, swcode.CallerNotProven, nil},
		"no certificate":                 {`{"Caller":"desk","Kind":"check","Index":"books"}`, false, swcode.CallerNotProven, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: own.RootCAs, ServerName: "sycamorewall"}
			if test.certificate {
				config.Certificates = authority.TLS(t, "desk").Certificates
			}
			reply := postTLS(t, config, url+swclient.PathSearch, test.body)
			if diff := cmp.Diff(test.code, reply.Code); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.counts, reply.Counts); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func postTLS(t *testing.T, config *tls.Config, url, body string) swclient.SearchReply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var reply swclient.SearchReply
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	return reply
}
