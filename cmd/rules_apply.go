package cmd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// rulesApplyCommand replaces the rules at the platform with those of a file.
type rulesApplyCommand struct {
	command     *cobra.Command
	platform    platformOptions
	output      outputOptions
	base        uint64
	by          string
	wait        bool
	waitTimeout time.Duration
}

// Values of rulesApplied.Outcome.
const (
	outcomeAccepted    = "Accepted"
	outcomeUnchanged   = "Unchanged"
	outcomeRace        = "Race"
	outcomeUnknown     = "Unknown"
	outcomeUnavailable = "Unavailable"
)

// rulesApplied is the output of the apply command.
type rulesApplied struct {
	Outcome string
	EditID  string `json:",omitempty"`
	// Base is the version that the operator edited.
	Base uint64
	// Version is the version that the edit created, or, after a race, the one at the platform.
	Version uint64
	// Current is the version at the platform when the outcome became known.
	Current uint64 `json:",omitempty"`
	// Settled reports whether the outcome was found out by looking for the edit's ID, after an answer was lost or an earlier
	// apply had written the edit.
	Settled bool `json:",omitempty"`
	// Diff is the difference from the rules at the platform to the file, after a race.
	Diff string `json:",omitempty"`
	// Edits are the edits by other operators since Base, after a race.
	Edits []swedit.Edit `json:",omitempty"`
	// DataCentres is the rollout state of the version in each data centre, with --wait.
	DataCentres []swedit.DataCentreStatus `json:",omitempty"`
}

func newRulesApplyCommand() *rulesApplyCommand {
	apply := &rulesApplyCommand{}
	apply.command = &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the rules with those of a file, unless they have changed since the version that was edited",
		Long: `Replace the rules with those of a file, unless they have changed since the version that was edited.

The first line of the file names that version, as in "# Version: 41"; --base overrides it. Version 0 creates the first
rules. After the edit is accepted, the first line of the file is updated to the new version. An apply whose outcome is
unknown can be repeated with the same file: it recognizes its own edit.`,
		Args: cobra.ExactArgs(1),
		RunE: apply.run,
	}
	apply.platform.addFlags(apply.command)
	apply.output.addFlags(apply.command)
	flags := apply.command.Flags()
	flags.Uint64Var(&apply.base, "base", 0, "version that was edited; overrides the one in the file's first line")
	flags.StringVar(&apply.by, "by", currentUser(), "name of the operator, which the history records")
	flags.BoolVar(&apply.wait, "wait", false, "wait until the rules are in force in every data centre")
	flags.DurationVar(&apply.waitTimeout, "wait-timeout", defaultWaitTimeout, "time limit of --wait")
	return apply
}

// currentUser returns the name of the user who runs the program, or the empty string if it is unknown.
func currentUser() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	account, err := user.Current()
	if err != nil {
		return ""
	}
	return account.Username
}

func (apply *rulesApplyCommand) run(command *cobra.Command, args []string) error {
	path := args[0]
	if apply.wait && apply.platform.gateway {
		return errors.New("--wait is not supported with --gateway: omit it, and look for \"rules in force\" in the logs of the gateway's VMs")
	}
	request, err := apply.newRequest(command, path)
	if err != nil {
		return err
	}
	client, err := apply.platform.client()
	if err != nil {
		return err
	}
	defer client.Close()
	result, err := apply.applyEdit(command.Context(), client, request)
	if err != nil {
		return apply.reportFailure(command, path, request, err)
	}
	if err := updateVersionLine(path, request.Text, result.Version); err != nil {
		fmt.Fprintf(command.ErrOrStderr(), "%s: version %d is accepted, but the version in the first line could not be updated: %v\n", path, result.Version, err)
	}
	applied := rulesApplied{
		Outcome: outcomeAccepted, EditID: result.EditID, Base: request.Base, Version: result.Version, Current: result.CurrentVersion,
		Settled: result.FoundByID,
	}
	if result.Unchanged {
		applied.Outcome = outcomeUnchanged
	}
	if !apply.wait {
		return apply.print(command, applied)
	}
	return apply.waitInForce(command, client, applied)
}

// newRequest parses the file and returns the edit that it asks for.
func (apply *rulesApplyCommand) newRequest(command *cobra.Command, path string) (swedit.Request, error) {
	ruleSet, err := parseRuleFile(command, path)
	if err != nil {
		return swedit.Request{}, err
	}
	request := swedit.Request{Text: ruleSet.String(), Base: apply.base, By: apply.by}
	if request.By == "" {
		return swedit.Request{}, errors.New("no operator name: set --by")
	}
	if command.Flags().Changed("base") {
		return request, nil
	}
	base, ok := swedit.HeaderVersion(request.Text)
	if !ok {
		return swedit.Request{}, errors.Errorf("%s does not name the version that was edited: begin it with a line such as # Version: 41, or give --base", path)
	}
	request.Base = base
	return request, nil
}

func (apply *rulesApplyCommand) applyEdit(ctx context.Context, client *swplatform.Client, request swedit.Request) (swedit.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, apply.platform.timeout)
	defer cancel()
	return swedit.New(swedit.Config{Store: apply.platform.ruleStore(client)}).Apply(ctx, request)
}

// reportFailure prints the outcome of an edit that was not accepted and returns the error that ends the command.
func (apply *rulesApplyCommand) reportFailure(command *cobra.Command, path string, request swedit.Request, err error) error {
	applied := rulesApplied{Base: request.Base}
	var code int
	var race *swedit.ConflictError
	var unknown *swedit.OutcomeUnknownError
	var unavailable *swedit.UnavailableError
	switch {
	case errors.As(err, &race):
		code = exitRace
		applied.Outcome, applied.Version, applied.Edits = outcomeRace, race.Version, race.Edits
		applied.Diff = diffRules(versionLabel(race.Version), race.Text, path, request.Text)
	case errors.As(err, &unknown):
		code = exitUnknown
		applied.Outcome, applied.EditID, applied.Current = outcomeUnknown, unknown.EditID, unknown.Version
	case errors.As(err, &unavailable):
		code = exitUnavailable
		applied.Outcome = outcomeUnavailable
	default:
		return err
	}
	if printErr := apply.print(command, applied); printErr != nil {
		return printErr
	}
	return &exitError{code: code, err: err}
}

// waitInForce waits until the version is in force in every data centre and prints its rollout.
func (apply *rulesApplyCommand) waitInForce(command *cobra.Command, client *swplatform.Client, applied rulesApplied) error {
	ctx, cancel := context.WithTimeout(command.Context(), apply.waitTimeout)
	defer cancel()
	tracker := swedit.NewTracker(swedit.TrackerConfig{Store: client, Version: applied.Version})
	report, waitErr := tracker.Wait(ctx)
	applied.DataCentres = report.DataCentres
	if err := apply.print(command, applied); err != nil {
		return err
	}
	if waitErr != nil && !errors.Is(waitErr, context.DeadlineExceeded) {
		return &exitError{code: exitNotInForce, err: waitErr}
	}
	return requireInForce(report)
}

func (apply *rulesApplyCommand) print(command *cobra.Command, applied rulesApplied) error {
	return apply.output.print(command, applied, func(out io.Writer) {
		switch applied.Outcome {
		case outcomeAccepted:
			fmt.Fprintf(out, "Version %d is accepted (edit %s).\n", applied.Version, applied.EditID)
		case outcomeUnchanged:
			fmt.Fprintf(out, "Version %d already has these rules; nothing was written.\n", applied.Version)
		case outcomeRace:
			printRace(out, applied)
		}
		if applied.Current > applied.Version && applied.Outcome == outcomeAccepted {
			fmt.Fprintf(out, "Another edit has followed: the rules are at version %d.\n", applied.Current)
		}
		if applied.DataCentres != nil {
			printRollout(out, swedit.Report{Version: applied.Version, DataCentres: applied.DataCentres})
		}
	})
}

func printRace(out io.Writer, applied rulesApplied) {
	for _, edit := range applied.Edits {
		by := cmp.Or(edit.By, "an unnamed operator")
		fmt.Fprintf(out, "Edited by %s at %s (edit %s).\n", by, edit.At.UTC().Format(time.RFC3339), edit.ID)
	}
	fmt.Fprint(out, applied.Diff)
}

// updateVersionLine writes the accepted version to the first line of the file, if that line names a version.
func updateVersionLine(path, text string, version uint64) error {
	if _, ok := swedit.HeaderVersion(text); !ok || path == standardInput {
		return nil
	}
	return rewriteFile(path, swedit.SetHeader(text, version))
}
