package cmd

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/diff"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
	"github.com/sycamorewall/sycamorewall/platform"
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

func newRulesCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "rules",
		Short: "Check, apply and follow the rules",
	}
	command.AddCommand(
		newRulesCheckCommand().command,
		newRulesFmtCommand().command,
		newRulesShowCommand().command,
		newRulesDiffCommand().command,
		newRulesApplyCommand().command,
		newRulesStatusCommand().command,
		newRulesHistoryCommand().command,
		newRulesTestCommand().command,
	)
	return command
}

// platformEnvironment names the environment variable with the platform's URL.
const platformEnvironment = "SYCAMOREWALL_PLATFORM"

// Defaults of flags.
const (
	defaultTimeout     = time.Minute
	defaultWaitTimeout = 30 * time.Second
	defaultCallTimeout = 8 * time.Second
)

// platformOptions are the flags of commands that call the platform.
type platformOptions struct {
	url         string
	timeout     time.Duration
	callTimeout time.Duration
	// gateway is set when the platform is the users', whose store the gateway's VMs follow.
	gateway bool
}

func (options *platformOptions) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&options.url, "platform", os.Getenv(platformEnvironment), "base URL of the platform's object API; $"+platformEnvironment+" is the default")
	flags.BoolVar(&options.gateway, "gateway", false, "the platform is the users', whose store the gateway's VMs follow")
	flags.DurationVar(&options.timeout, "timeout", defaultTimeout, "how long to retry calls to the platform")
	flags.DurationVar(&options.callTimeout, "call-timeout", defaultCallTimeout, "how long one call to the platform may take")
}

func (options *platformOptions) client() (*swplatform.Client, error) {
	if options.url == "" {
		return nil, errors.New("say where the platform is with --platform or $" + platformEnvironment)
	}
	return swplatform.New(swplatform.Config{URL: options.url, Timeout: options.callTimeout})
}

// rules returns where the rules stand at the platform that a client calls.
func (options *platformOptions) rules(client *swplatform.Client) swedit.Store {
	if options.gateway {
		return swedit.NewVersionedStore(platform.NewStore(client), swfollow.KindShared, swfollow.PrefixRules)
	}
	return client
}

// retryRead calls read until it succeeds, fails for good or the timeout passes.
func retryRead[Value any](ctx context.Context, options *platformOptions, read func(ctx context.Context) (Value, error)) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, options.timeout)
	defer cancel()
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{})
	for {
		value, err := read(ctx)
		if err == nil {
			return value, nil
		}
		if !errors.Is(err, swplatform.ErrUnavailable) && !errors.Is(err, swplatform.ErrMalformedResponse) {
			return value, err
		}
		if backoff.Wait(ctx) != nil {
			return value, &exitError{code: exitUnavailable, err: err}
		}
	}
}

// rulesInStore is the rules object as a read found it.
type rulesInStore struct {
	version  uint64
	document swedit.Document
	// bad is set when the object can't be decoded.
	bad error
}

func readRules(ctx context.Context, options *platformOptions) (rulesInStore, error) {
	client, err := options.client()
	if err != nil {
		return rulesInStore{}, err
	}
	defer client.Close()
	object, err := retryRead(ctx, options, func(ctx context.Context) (swplatform.Object, error) {
		return options.rules(client).Get(ctx, swedit.KindRules, swedit.NameMain)
	})
	if err != nil {
		return rulesInStore{}, err
	}
	document, err := swedit.DecodeDocument(object.Value)
	return rulesInStore{version: object.Version, document: document, bad: err}, nil
}

// readFile reads a rule file, or standard input when path is standardInput.
func readFile(command *cobra.Command, path string) (string, error) {
	if path == standardInput {
		text, err := io.ReadAll(command.InOrStdin())
		return string(text), errors.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(path)
	return string(text), errors.Wrap(err, "read rule file")
}

// parseFile reads and checks a rule file and prints its problems as path:line:column. Errors end the command with
// exitProblems.
func parseFile(command *cobra.Command, path string) (*swrule.RuleSet, error) {
	text, err := readFile(command, path)
	if err != nil {
		return nil, err
	}
	ruleSet, problems := swrule.Parse([]byte(text))
	printProblems(command.ErrOrStderr(), path, problems)
	if ruleSet == nil {
		return nil, &exitError{code: exitProblems, err: errors.Errorf("%s has errors", path)}
	}
	return ruleSet, nil
}

// diffRules compares rule files without the lines that name their versions. It returns the empty string when they are equal.
func diffRules(oldName, oldText, newName, newText string) string {
	return string(diff.Diff(oldName, []byte(swedit.StripHeader(oldText)), newName, []byte(swedit.StripHeader(newText))))
}
