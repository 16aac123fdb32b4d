package cmd

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// rulesTestCommand prints the rule that a request matches. Its file is not named rules_test.go, which would make it a Go test.
type rulesTestCommand struct {
	command  *cobra.Command
	platform platformOptions
	output   outputOptions
	request  swrule.Request
}

// rulesTest is the output of the test command.
type rulesTest struct {
	// Version is the version at the platform, or zero for a file.
	Version  uint64
	Action   string
	Priority swrule.Priority
	// Line is zero when no rule matches.
	Line int
	Rule string
	// Code is the result code of a refusal, or OK.
	Code string
}

func newRulesTestCommand() *rulesTestCommand {
	test := &rulesTestCommand{}
	test.command = &cobra.Command{
		Use:   "test [FILE]",
		Short: "Print the rule that a request matches, in a file or in the rules at the platform",
		Args:  cobra.MaximumNArgs(1),
		RunE:  test.run,
	}
	test.platform.addFlags(test.command)
	test.output.addFlags(test.command)
	flags := test.command.Flags()
	flags.StringVar(&test.request.Caller, "caller", "", "caller of the request")
	flags.StringVar(&test.request.Kind, "kind", "", "kind of the request")
	flags.StringVar(&test.request.Index, "index", "", "index of the request")
	flags.StringVar(&test.request.Host, "host", "", "host of a gateway request")
	flags.StringVar(&test.request.Path, "path", "", "path of a gateway request")
	flags.StringVar(&test.request.Fingerprint, "fingerprint", "", "fingerprint of the request")
	return test
}

func (test *rulesTestCommand) run(command *cobra.Command, args []string) error {
	ruleSet, version, err := test.ruleSet(command, args)
	if err != nil {
		return err
	}
	decision := ruleSet.Match(test.request)
	result := rulesTest{
		Version: version, Action: decision.Action.String(), Priority: decision.Priority, Line: decision.Line,
		Rule: decision.Text, Code: decision.Code().String(),
	}
	return test.output.print(command, result, func(out io.Writer) {
		if result.Line == 0 {
			fmt.Fprintf(out, "no rule matches: %s with %s\n", result.Action, result.Code)
			return
		}
		fmt.Fprintf(out, "line %d: %s\n", result.Line, result.Rule)
	})
}

func (test *rulesTestCommand) ruleSet(command *cobra.Command, args []string) (*swrule.RuleSet, uint64, error) {
	if len(args) > 0 {
		ruleSet, err := parseRuleFile(command, args[0])
		return ruleSet, 0, err
	}
	rules, err := readRules(command.Context(), &test.platform)
	if err != nil {
		return nil, 0, err
	}
	if rules.decodeError != nil {
		return nil, 0, rules.decodeError
	}
	ruleSet, problems := swrule.Parse([]byte(rules.document.Text))
	if ruleSet == nil {
		printProblems(command.ErrOrStderr(), versionLabel(rules.version), problems)
		return nil, 0, &exitError{code: exitProblems, err: errors.Errorf("the rules at version %d have errors", rules.version)}
	}
	return ruleSet, rules.version, nil
}
