package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/bench"
)

func benchCommand() *cobra.Command {
	command := &cobra.Command{Use: "bench", Args: cobra.NoArgs,
		Short: "Measure a gateway against the same client straight at its node"}
	each := command.Flags().Duration("each", time.Second, "time for each measurement")
	rounds := command.Flags().Int("rounds", 3, "measurements of each case; the medians are shown")
	profile := command.Flags().String("cpu-profile", "", "write a profile of the gateway's processor time there")
	command.RunE = func(command *cobra.Command, _ []string) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		return bench.Run(command.OutOrStdout(), self, *profile, *each, *rounds)
	}
	return command
}
