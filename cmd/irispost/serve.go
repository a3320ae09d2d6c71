package main

import (
	"context"
	"os"
	"path/filepath"
	"runtime/debug"
	"runtime/pprof"

	"github.com/spf13/cobra"

	"irispost/internal/config"
	"irispost/internal/serve"
)

func serveCommand() *cobra.Command {
	c := &cobra.Command{Use: "serve", Short: "Run a gateway until SIGTERM", Args: cobra.NoArgs}
	file := c.Flags().String("config", "irispost.hcl", "the configuration")
	profile := c.Flags().String("cpu-profile", "", "write a profile of the processor's time there, until the end")
	log := logs(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		conf, err := config.Load(*file)
		if err != nil {
			return err
		}
		if *profile != "" {
			out, err := os.Create(*profile)
			if err != nil {
				return err
			}
			defer func() { _ = out.Close() }() // a profile that is not whole cannot be read
			if err := pprof.StartCPUProfile(out); err != nil {
				return err
			}
			defer pprof.StopCPUProfile()
		}
		if os.Getenv("GOGC") == "" {
			debug.SetGCPercent(400) // what lives is little, what passes is much: GOGC and GOMEMLIMIT still count
		}
		ctx, cancel := untilSignal()
		defer cancel()
		g, err := serve.Start(conf, filepath.Dir(*file), log())
		if err != nil {
			return err
		}
		writef(c.OutOrStdout(), "gateway %s serves at %s\n", conf.Name, g.Frontend.Addr())
		if g.ISCSI != nil {
			writef(c.OutOrStdout(), "disks of %s at %s\n", conf.Name, g.ISCSI.Addr())
		}
		<-ctx.Done()
		cancel() // a second signal ends the program at once
		last, end := context.WithTimeout(context.Background(), conf.ShutdownTimeout)
		defer end()
		if err := g.Shutdown(last); err != nil {
			log().Warn("stopped", "gateway", conf.Name, "why", err)
		}
		return nil
	}
	return c
}
