package cmd

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// rulesDiffCommand compares a rule file with the rules at the platform.
type rulesDiffCommand struct {
	command  *cobra.Command
	platform platformOptions
	output   outputOptions
}

// rulesDiff is the result of a comparison.
type rulesDiff struct {
	File    string
	Version uint64
	// Diff is a unified diff; it is empty when the file has the same rules.
	Diff string
}

func newRulesDiffCommand() *rulesDiffCommand {
	compare := &rulesDiffCommand{}
	compare.command = &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a rule file would change",
		Args:  cobra.ExactArgs(1),
		RunE:  compare.run,
	}
	compare.platform.addFlags(compare.command)
	compare.output.addFlags(compare.command)
	return compare
}

func (compare *rulesDiffCommand) run(command *cobra.Command, args []string) error {
	text, err := readRuleFile(command, args[0])
	if err != nil {
		return err
	}
	rules, err := readRules(command.Context(), &compare.platform)
	if err != nil {
		return err
	}
	if rules.decodeError != nil {
		return rules.decodeError
	}
	result := rulesDiff{File: args[0], Version: rules.version}
	result.Diff = diffRules(versionLabel(rules.version), rules.document.Text, args[0], text)
	err = compare.output.print(command, result, func(out io.Writer) { fmt.Fprint(out, result.Diff) })
	if err != nil {
		return err
	}
	if result.Diff != "" {
		return &exitError{code: exitDifferent, err: errors.Errorf("%s differs from version %d", args[0], rules.version)}
	}
	return nil
}

func versionLabel(version uint64) string {
	return fmt.Sprintf("version-%d", version)
}
