package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swrollout"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// rulesStatusCommand prints the rollout of the rules at the platform.
type rulesStatusCommand struct {
	command  *cobra.Command
	platform platformOptions
	output   outputOptions
	version  uint64
}

// rulesStatus is the output of the status command.
type rulesStatus struct {
	swedit.Report
	// Fault says why VMs reject the rules at the platform, or is empty.
	Fault string `json:",omitempty"`
}

func newRulesStatusCommand() *rulesStatusCommand {
	status := &rulesStatusCommand{}
	status.command = &cobra.Command{
		Use:   "status",
		Short: "Show in which data centres the rules at the platform are in force",
		Args:  cobra.NoArgs,
		RunE:  status.run,
	}
	status.platform.addFlags(status.command)
	status.output.addFlags(status.command)
	status.command.Flags().Uint64Var(&status.version, "version", 0, "version to report on, instead of the one at the platform")
	return status
}

func (status *rulesStatusCommand) run(command *cobra.Command, _ []string) error {
	rules, err := readRules(command.Context(), &status.platform)
	if err != nil {
		return err
	}
	result := rulesStatus{Fault: rejectionReason(rules)}
	version := rules.version
	if status.version != 0 {
		version = status.version
	}
	client, err := status.platform.client()
	if err != nil {
		return err
	}
	defer client.Close()
	tracker := swedit.NewTracker(swedit.TrackerConfig{Store: client, Version: version})
	result.Report, err = retryRead(command.Context(), &status.platform, func(ctx context.Context) (swedit.Report, error) {
		return tracker.Poll(ctx)
	})
	if err != nil {
		return err
	}
	if err := status.output.print(command, result, func(out io.Writer) { printRulesStatus(out, result) }); err != nil {
		return err
	}
	return requireInForce(result.Report)
}

// requireInForce returns an error with exitNotInForce unless the version is in force in every data centre.
func requireInForce(report swedit.Report) error {
	if report.InForce() {
		return nil
	}
	return &exitError{code: exitNotInForce, err: errors.Errorf("version %d is not in force in every data centre", report.Version)}
}

// rejectionReason returns why VMs reject the rules, or the empty string.
func rejectionReason(rules storedRules) string {
	if rules.decodeError != nil {
		return rules.decodeError.Error()
	}
	ruleSet, problems := swrule.Parse([]byte(rules.document.Text))
	if ruleSet != nil {
		return ""
	}
	for _, problem := range problems {
		if problem.Severity == swrule.Error {
			return problem.String()
		}
	}
	return ""
}

func printRulesStatus(out io.Writer, status rulesStatus) {
	if status.Fault != "" {
		fmt.Fprintf(out, "The rules at the platform are invalid; VMs keep the last good ones: %s\n", status.Fault)
	}
	printRollout(out, status.Report)
}

// printRollout prints a table with the version's rollout in each data centre.
func printRollout(out io.Writer, report swedit.Report) {
	fmt.Fprintf(out, "Version %d\n", report.Version)
	fmt.Fprintln(out, "DATA CENTRE\tROLLOUT\tVMS\tSTATUS AGE\tBEHIND")
	for _, dataCentreStatus := range report.DataCentres {
		age := "-"
		if !dataCentreStatus.At.IsZero() {
			age = time.Since(dataCentreStatus.At).Round(time.Second).String()
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%s\n", dataCentreStatus.DataCentre, dataCentreStatus.Spread, dataCentreStatus.VMs, age, describeLag(dataCentreStatus))
	}
}

// describeLag returns why a data centre is behind: the fault of its status, or the VMs that have not reported the version.
func describeLag(dataCentreStatus swedit.DataCentreStatus) string {
	if dataCentreStatus.Fault != "" {
		return dataCentreStatus.Fault
	}
	names := make([]string, len(dataCentreStatus.Behind))
	for i, vm := range dataCentreStatus.Behind {
		names[i] = describeVM(vm)
	}
	return strings.Join(names, ", ")
}

func describeVM(vm swrollout.VMStatus) string {
	text := fmt.Sprintf("%s (%s, at %d", vm.Name, vm.State, vm.RuleVersion)
	if vm.Rejected != "" {
		text += ", rejected: " + vm.Rejected
	}
	return text + ")"
}
