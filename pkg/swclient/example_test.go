package swclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// tier returns a server in place of the entry VMs. It issues one key and answers every search and run with reply.
func tier(reply swclient.SearchReply) *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(swclient.PathKeys, func(response http.ResponseWriter, _ *http.Request) {
		keys := swclient.KeysReply{Code: swcode.OK, Keys: []string{"swk1-example"}, Expires: swclient.Duration(time.Minute)}
		_ = json.NewEncoder(response).Encode(keys)
	})
	answer := func(response http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(response).Encode(reply) }
	mux.HandleFunc(swclient.PathRuns, answer)
	mux.HandleFunc(swclient.PathSearch, answer)
	return httptest.NewServer(mux)
}

func ExampleClient_Search() {
	server := tier(swclient.SearchReply{
		Code:     swcode.OK,
		Ran:      swcode.RanYes,
		Coverage: swclient.Coverage{Documents: 120, Of: 120, Shards: 10, OfShards: 10},
		Hits:     []swclient.Hit{{ID: "entry-7", Score: 1, Shard: 3}},
	})
	defer server.Close()
	client, err := swclient.New(swclient.Config{Endpoints: []string{server.URL}, Caller: "treasurer-desk"})
	if err != nil {
		fmt.Println(err)
		return
	}
	reply, err := client.Search(context.Background(), swclient.SearchRequest{
		Kind:  "balance-check",
		Index: "ledger",
		Query: "club:17 month:11",
		Limit: 10,
	})
	fmt.Println(reply.Hits[0].ID, reply.Coverage.Fraction(), err)
	// Output: entry-7 1 <nil>
}

func ExampleClient_Run() {
	server := tier(swclient.SearchReply{Code: swcode.OutcomeUnknown, Ran: swcode.RanUnknown})
	defer server.Close()
	client, err := swclient.New(swclient.Config{Endpoints: []string{server.URL}, Caller: "treasurer-desk"})
	if err != nil {
		fmt.Println(err)
		return
	}
	var match swclient.RunRequest
	match.Kind = "payment-match"
	match.Index = "ledger"
	match.Query = "invoice:2214"
	_, err = client.Run(context.Background(), match)
	var failed *swcode.Error
	if errors.As(err, &failed) && failed.Ran != swcode.RanNo {
		fmt.Println("check whether the payment was matched:", failed.Code)
	}
	// Output: check whether the payment was matched: OutcomeUnknown
}
