package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/bench"
)

func benchCommand() *cobra.Command {
	c := &cobra.Command{Use: "bench", Short: "Measure a gateway against the same client straight at its node", Args: cobra.NoArgs}
	each := c.Flags().Duration("each", time.Second, "time for each measurement")
	rounds := c.Flags().Int("rounds", 3, "measurements of each case; the medians are shown")
	profile := c.Flags().String("cpu-profile", "", "write a profile of the gateway's processor time there")
	c.RunE = func(c *cobra.Command, _ []string) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		return bench.Run(c.OutOrStdout(), self, *profile, *each, *rounds)
	}
	return c
}
