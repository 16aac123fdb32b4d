package cmd

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// searchCommand sends one search to a VM and prints the answer.
type searchCommand struct {
	vm          vmOptions
	output      outputOptions
	minCoverage float64
	timeout     time.Duration
	request     swclient.SearchRequest
}

func newSearchCommand() *cobra.Command {
	search := &searchCommand{}
	command := &cobra.Command{
		Use:   "search --address URL --caller NAME --kind KIND --index INDEX QUERY",
		Short: "Search an index and print the answer with its coverage and snapshot",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			search.request.Query = args[0]
			return search.run(command)
		},
	}
	flags := command.Flags()
	search.vm.addFlags(command)
	search.output.addFlags(command)
	flags.StringVar(&search.request.Caller, "caller", "", "caller's name, unless a client certificate gives it")
	flags.StringVar(&search.request.Kind, "kind", "search", "kind of the request, for matching rules")
	flags.StringVar(&search.request.Index, "index", "", "index to search")
	flags.IntVar(&search.request.Limit, "limit", 10, "maximum number of hits")
	flags.Float64Var(&search.minCoverage, "min-coverage", 1, "minimum fraction of the documents to cover, from 0 to 1")
	flags.DurationVar(&search.timeout, "timeout", 2*time.Second, "time limit of the search")
	return command
}

func (search *searchCommand) run(command *cobra.Command) error {
	search.request.MinCoverage = &search.minCoverage
	search.request.Timeout = swclient.Duration(search.timeout)
	reply, err := search.vm.postSearch(command.Context(), search.request)
	if err != nil {
		return err
	}
	if err := search.output.print(command, reply, func(out io.Writer) { printReply(out, &reply) }); err != nil {
		return err
	}
	return reply.Err()
}

// printReply prints an answer as a table. It prints nothing for a refusal, which the command returns as an error.
func printReply(out io.Writer, reply *swclient.SearchReply) {
	if reply.Code != swcode.OK {
		return
	}
	fmt.Fprintf(out, "ID\tSCORE\tSHARD\tTEXT\n")
	for _, hit := range reply.Hits {
		fmt.Fprintf(out, "%s\t%g\t%d\t%s\n", hit.ID, hit.Score, hit.Shard, hit.Text)
	}
	fmt.Fprintf(out, "\nSnapshot %s, %d of %d documents in %d of %d shards, rules version %d, took %s\n", reply.Snapshot,
		reply.Coverage.Documents, reply.Coverage.Of, reply.Coverage.Shards, reply.Coverage.OfShards, reply.RuleVersion, time.Duration(reply.Took))
}
