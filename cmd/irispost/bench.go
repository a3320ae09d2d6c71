package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/bench"
)

func benchCommand() *cobra.Command {
	command := &cobra.Command{Use: "bench", Args: cobra.NoArgs,
		Short: "Benchmark requests through a gateway against direct requests to its node"}
	each := command.Flags().Duration("each", time.Second, "duration of each measurement")
	rounds := command.Flags().Int("rounds", 3, "measurements per case, of which the median is shown")
	profile := command.Flags().String("cpu-profile", "", "write a CPU profile of the gateway to this file")
	command.RunE = func(command *cobra.Command, _ []string) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		return bench.Run(command.OutOrStdout(), self, *profile, *each, *rounds)
	}
	return command
}
