package cmd

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// rulesCheckCommand checks rule files without calling the platform.
type rulesCheckCommand struct {
	command *cobra.Command
	output  outputOptions
}

// checkedFile is the result of checking one file.
type checkedFile struct {
	File     string
	Rules    int
	Problems []swrule.Problem
}

func newRulesCheckCommand() *rulesCheckCommand {
	check := &rulesCheckCommand{}
	check.command = &cobra.Command{
		Use:   "check FILE...",
		Short: "Check rule files and list every problem with its line and column",
		Args:  cobra.MinimumNArgs(1),
		RunE:  check.run,
	}
	check.output.addFlags(check.command)
	return check
}

func (check *rulesCheckCommand) run(command *cobra.Command, paths []string) error {
	files := make([]checkedFile, 0, len(paths))
	filesWithErrors := 0
	for _, path := range paths {
		file, err := checkFile(command, path)
		if err != nil {
			return err
		}
		if swrule.HasErrors(file.Problems) {
			filesWithErrors++
		}
		files = append(files, file)
	}
	err := check.output.print(command, files, func(out io.Writer) {
		for _, file := range files {
			printProblems(out, file.File, file.Problems)
		}
	})
	if err != nil {
		return err
	}
	if filesWithErrors > 0 {
		return &exitError{code: exitProblems, err: errors.Errorf("%d of %d files have errors", filesWithErrors, len(files))}
	}
	return nil
}

func checkFile(command *cobra.Command, path string) (checkedFile, error) {
	text, err := readRuleFile(command, path)
	if err != nil {
		return checkedFile{}, err
	}
	ruleSet, problems := swrule.Parse([]byte(text))
	file := checkedFile{File: path, Problems: problems}
	if ruleSet != nil {
		file.Rules = len(ruleSet.Rules())
	}
	return file, nil
}

func printProblems(out io.Writer, path string, problems []swrule.Problem) {
	for _, problem := range problems {
		fmt.Fprintf(out, "%s:%s\n", path, problem)
	}
}
