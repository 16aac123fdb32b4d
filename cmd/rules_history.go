package cmd

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
)

// rulesHistoryCommand lists the last edits of the rules.
type rulesHistoryCommand struct {
	command  *cobra.Command
	platform platformOptions
	output   outputOptions
}

// rulesHistory is the history of the rules, newest first.
type rulesHistory struct {
	Version uint64
	Edits   []swedit.Edit
}

func newRulesHistoryCommand() *rulesHistoryCommand {
	history := &rulesHistoryCommand{}
	history.command = &cobra.Command{
		Use:   "history",
		Short: "List the last edits of the rules, newest first",
		Args:  cobra.NoArgs,
		RunE:  history.run,
	}
	history.platform.addFlags(history.command)
	history.output.addFlags(history.command)
	return history
}

func (history *rulesHistoryCommand) run(command *cobra.Command, _ []string) error {
	rules, err := readRules(command.Context(), &history.platform)
	if err != nil {
		return err
	}
	if rules.decodeError != nil {
		return rules.decodeError
	}
	result := rulesHistory{Version: rules.version, Edits: rules.document.Edits}
	return history.output.print(command, result, func(out io.Writer) {
		fmt.Fprintln(out, "VERSION\tAT\tBY\tEDIT")
		for _, edit := range result.Edits {
			version := "-"
			if edit.Base > 0 {
				version = fmt.Sprint(edit.Base + 1)
			}
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", version, edit.At.UTC().Format(time.RFC3339), edit.By, edit.ID)
		}
	})
}
