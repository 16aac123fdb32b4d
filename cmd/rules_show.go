package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
)

// rulesShowCommand prints the rules at the platform as a file to edit.
type rulesShowCommand struct {
	command  *cobra.Command
	platform platformOptions
}

func newRulesShowCommand() *rulesShowCommand {
	show := &rulesShowCommand{}
	show.command = &cobra.Command{
		Use:   "show",
		Short: "Print the rules at the platform as a file to edit and apply; its first line names their version",
		Args:  cobra.NoArgs,
		RunE:  show.run,
	}
	show.platform.addFlags(show.command)
	return show
}

func (show *rulesShowCommand) run(command *cobra.Command, _ []string) error {
	rules, err := readRules(command.Context(), &show.platform)
	if err != nil {
		return err
	}
	if rules.decodeError != nil {
		return rules.decodeError
	}
	fmt.Fprint(command.OutOrStdout(), swedit.SetHeader(rules.document.Text, rules.version))
	return nil
}
