package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Output formats of commands.
const (
	outputJSON  = "json"
	outputTable = "table"
)

// searchCommand sends one search and prints the answer.
type searchCommand struct {
	address     string
	output      string
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
			return search.run(command.Context(), command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&search.address, "address", "http://127.0.0.1:8080", "URL of a VM or of the balancer")
	flags.StringVarP(&search.output, "output", "o", outputTable, "json or table")
	flags.StringVar(&search.request.Caller, "caller", "", "caller's name, where no client certificate gives it")
	flags.StringVar(&search.request.Kind, "kind", "search", "kind of work, as rules match it")
	flags.StringVar(&search.request.Index, "index", "", "index to search")
	flags.IntVar(&search.request.Limit, "limit", 10, "number of hits")
	flags.Float64Var(&search.minCoverage, "min-coverage", 1, "least part of the documents to cover, from 0 to 1")
	flags.DurationVar(&search.timeout, "timeout", 2*time.Second, "time to wait")
	return command
}

func (search *searchCommand) run(ctx context.Context, out io.Writer) error {
	if search.output != outputJSON && search.output != outputTable {
		return errors.Errorf("output %q is neither json nor table", search.output)
	}
	search.request.MinCoverage = &search.minCoverage
	search.request.Timeout = swclient.Duration(search.timeout)
	reply, err := postSearch(ctx, search.address, search.request)
	if err != nil {
		return err
	}
	if err := search.print(out, reply); err != nil {
		return err
	}
	return reply.Err()
}

func (search *searchCommand) print(out io.Writer, reply swclient.SearchReply) error {
	if search.output == outputJSON {
		return printJSON(out, reply)
	}
	if reply.Code != swcode.OK {
		return nil
	}
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(writer, "ID\tSCORE\tSHARD\tTEXT\n")
	for _, hit := range reply.Hits {
		fmt.Fprintf(writer, "%s\t%g\t%d\t%s\n", hit.ID, hit.Score, hit.Shard, hit.Text)
	}
	fmt.Fprintf(writer, "\nSnapshot %s, %d of %d documents in %d of %d shards, rules %d, took %s\n", reply.Snapshot,
		reply.Coverage.Documents, reply.Coverage.Of, reply.Coverage.Shards, reply.Coverage.OfShards, reply.RuleVersion, time.Duration(reply.Took))
	return writer.Flush()
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print JSON")
}
