package cmd

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// rulesFmtCommand rewrites rule files in their canonical form.
type rulesFmtCommand struct {
	command *cobra.Command
	// check lists the files that would change, without changing them.
	check bool
}

func newRulesFmtCommand() *rulesFmtCommand {
	format := &rulesFmtCommand{}
	format.command = &cobra.Command{
		Use:   "fmt FILE...",
		Short: "Rewrite rule files in their canonical form; - formats standard input to standard output",
		Args:  cobra.MinimumNArgs(1),
		RunE:  format.run,
	}
	format.command.Flags().BoolVar(&format.check, "check", false, "list the files that would change, without changing them")
	return format
}

func (format *rulesFmtCommand) run(command *cobra.Command, paths []string) error {
	changedFiles := 0
	for _, path := range paths {
		changed, err := format.formatFile(command, path)
		if err != nil {
			return err
		}
		if changed {
			changedFiles++
		}
	}
	if format.check && changedFiles > 0 {
		return &exitError{code: exitDifferent, err: errors.Errorf("%d of %d files are not in canonical form", changedFiles, len(paths))}
	}
	return nil
}

// formatFile formats one file, or only checks it, and reports whether its text differed from the canonical form.
func (format *rulesFmtCommand) formatFile(command *cobra.Command, path string) (bool, error) {
	ruleSet, err := parseRuleFile(command, path)
	if err != nil {
		return false, err
	}
	text := ruleSet.Format()
	changed := text != ruleSet.String()
	switch {
	case format.check && changed:
		fmt.Fprintln(command.OutOrStdout(), path)
	case format.check:
	case path == standardInput:
		fmt.Fprint(command.OutOrStdout(), text)
	case changed:
		return true, rewriteFile(path, text)
	}
	return changed, nil
}

// rewriteFile replaces the text of an existing file and keeps its permissions.
func rewriteFile(path, text string) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "rewrite rule file")
	}
	return errors.Wrap(os.WriteFile(path, []byte(text), info.Mode().Perm()), "rewrite rule file")
}
