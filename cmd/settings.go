package cmd

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

func newSettingsCommand() *cobra.Command {
	settings := &cobra.Command{
		Use:   "settings",
		Short: "Work with settings files",
	}
	settings.AddCommand(newSettingsCheckCommand())
	return settings
}

func newSettingsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and print each wrong field with the fault and the fix",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if _, err := swsetting.Load(args[0]); err != nil {
				return errors.Wrapf(err, "check %s", args[0])
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "%s: no faults\n", args[0])
			return err
		},
	}
}
