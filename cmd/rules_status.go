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

// rulesStatusCommand tells how far the rules at the platform have come into force.
type rulesStatusCommand struct {
	command  *cobra.Command
	platform platformOptions
	output   outputOptions
	version  uint64
}

// rulesStatus is what the status command prints.
type rulesStatus struct {
	swedit.Report
	// Fault says why VMs cannot take the rules at the platform, or is empty.
	Fault string `json:",omitempty"`
}

func newRulesStatusCommand() *rulesStatusCommand {
	status := &rulesStatusCommand{}
	status.command = &cobra.Command{
		Use:   "status",
		Short: "Tell in which data centres the rules at the platform are in force",
		Args:  cobra.NoArgs,
		RunE:  status.run,
	}
	status.platform.register(status.command)
	status.output.register(status.command)
	status.command.Flags().Uint64Var(&status.version, "version", 0, "version to look for instead of the one at the platform")
	return status
}

func (status *rulesStatusCommand) run(command *cobra.Command, _ []string) error {
	rules, err := readRules(command.Context(), &status.platform)
	if err != nil {
		return err
	}
	result := rulesStatus{Fault: rulesFault(rules)}
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
	return inForce(result.Report)
}

// inForce ends the command with exitNotInForce unless the version is in force everywhere.
func inForce(report swedit.Report) error {
	if report.InForce() {
		return nil
	}
	return &exitError{code: exitNotInForce, err: errors.Errorf("version %d is not in force in every data centre", report.Version)}
}

// rulesFault says why VMs cannot take the rules, or is empty.
func rulesFault(rules rulesInStore) string {
	if rules.bad != nil {
		return rules.bad.Error()
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
		fmt.Fprintf(out, "The rules at the platform can't be taken; VMs keep the last good ones: %s\n", status.Fault)
	}
	printReport(out, status.Report)
}

// printReport prints a table of data centres.
func printReport(out io.Writer, report swedit.Report) {
	fmt.Fprintf(out, "Version %d\n", report.Version)
	fmt.Fprintln(out, "DATA CENTRE\tSPREAD\tVMS\tSTATUS AGE\tBEHIND")
	for _, dataCentreStatus := range report.DataCentres {
		age := "-"
		if !dataCentreStatus.At.IsZero() {
			age = time.Since(dataCentreStatus.At).Round(time.Second).String()
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%s\n", dataCentreStatus.DataCentre, dataCentreStatus.Spread, dataCentreStatus.VMs, age, lagging(dataCentreStatus))
	}
}

// lagging names what holds a data centre back.
func lagging(dataCentreStatus swedit.DataCentreStatus) string {
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
