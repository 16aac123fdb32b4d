package cmd

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/diff"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
	"github.com/sycamorewall/sycamorewall/platform"
)

// standardInput is the file name that means standard input.
const standardInput = "-"

func newRulesCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "rules",
		Short: "Check and apply rules, and track their rollout",
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

// platformVariable names the environment variable with the platform's URL.
const platformVariable = "SYCAMOREWALL_PLATFORM"

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
	// gateway selects the gateway's rules. The platform is then the users' platform, whose store the gateway's VMs follow.
	gateway bool
}

func (options *platformOptions) addFlags(command *cobra.Command) {
	options.addCallFlags(command)
	command.Flags().BoolVar(&options.gateway, "gateway", false, "use the gateway's rules; the platform is then the users' platform, whose store the gateway's VMs follow")
}

// addCallFlags adds the flags of commands that are not about rules.
func (options *platformOptions) addCallFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&options.url, "platform", os.Getenv(platformVariable), "base URL of the platform's object API; $"+platformVariable+" is the default")
	flags.DurationVar(&options.timeout, "timeout", defaultTimeout, "how long to retry failed calls to the platform")
	flags.DurationVar(&options.callTimeout, "call-timeout", defaultCallTimeout, "time limit of one call to the platform")
}

func (options *platformOptions) client() (*swplatform.Client, error) {
	if options.url == "" {
		return nil, errors.New("no platform URL: set --platform or $" + platformVariable)
	}
	return swplatform.New(swplatform.Config{URL: options.url, Timeout: options.callTimeout})
}

// ruleStore returns the store that holds the rules at the client's platform.
func (options *platformOptions) ruleStore(client *swplatform.Client) swedit.Store {
	if options.gateway {
		return swedit.NewVersionedStore(platform.NewStore(client, swplatform.NewEraTracker(zerolog.Nop())), swfollow.KindShared, swfollow.PrefixRules)
	}
	return client
}

// retryRead calls read until it succeeds, returns an error that is not transient, or options.timeout passes.
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

// storedRules is the rules object as read from the platform.
type storedRules struct {
	version  uint64
	document swedit.Document
	// decodeError is set when the object can't be decoded.
	decodeError error
}

// readRules reads the rules object. If the object can't be decoded, decodeError is set and the returned error is nil.
func readRules(ctx context.Context, options *platformOptions) (storedRules, error) {
	client, err := options.client()
	if err != nil {
		return storedRules{}, err
	}
	defer client.Close()
	object, err := retryRead(ctx, options, func(ctx context.Context) (swplatform.Object, error) {
		return options.ruleStore(client).Get(ctx, swedit.KindRules, swedit.NameMain)
	})
	if err != nil {
		return storedRules{}, err
	}
	document, err := swedit.DecodeDocument(object.Value)
	return storedRules{version: object.Version, document: document, decodeError: err}, nil
}

// readRuleFile reads a rule file, or standard input when path is standardInput.
func readRuleFile(command *cobra.Command, path string) (string, error) {
	if path == standardInput {
		text, err := io.ReadAll(command.InOrStdin())
		return string(text), errors.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(path)
	return string(text), errors.Wrap(err, "read rule file")
}

// parseRuleFile reads and parses a rule file and prints its problems as path:line:column. If one of them is an error, the
// returned error ends the command with exitProblems.
func parseRuleFile(command *cobra.Command, path string) (*swrule.RuleSet, error) {
	text, err := readRuleFile(command, path)
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

// diffRules returns the unified diff of two rule files without the lines that name their versions. It is empty when they are
// equal.
func diffRules(oldName, oldText, newName, newText string) string {
	return string(diff.Diff(oldName, []byte(swedit.StripHeader(oldText)), newName, []byte(swedit.StripHeader(newText))))
}
