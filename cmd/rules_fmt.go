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
	// check lists the files that would change and leaves them.
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
	format.command.Flags().BoolVar(&format.check, "check", false, "list the files that would change, and change none")
	return format
}

func (format *rulesFmtCommand) run(command *cobra.Command, paths []string) error {
	different := 0
	for _, path := range paths {
		changed, err := format.file(command, path)
		if err != nil {
			return err
		}
		if changed {
			different++
		}
	}
	if format.check && different > 0 {
		return &exitError{code: exitDifferent, err: errors.Errorf("%d of %d files are not in canonical form", different, len(paths))}
	}
	return nil
}

// file formats one file and reports whether its text differs from the canonical form.
func (format *rulesFmtCommand) file(command *cobra.Command, path string) (bool, error) {
	ruleSet, err := parseFile(command, path)
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

// rewriteFile replaces the text of a file that exists and keeps its permissions.
func rewriteFile(path, text string) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "rewrite rule file")
	}
	return errors.Wrap(os.WriteFile(path, []byte(text), info.Mode().Perm()), "rewrite rule file")
}
