package main

import (
	"os"
	"path/filepath"
	"runtime/debug"
	"runtime/pprof"

	"github.com/spf13/cobra"

	"irispost/internal/config"
	"irispost/internal/serve"
)

// gatewayGCPercent lets the heap grow to five times what lives: a gateway's live heap is small, and much passes
// through. The variables GOGC and GOMEMLIMIT still count.
const gatewayGCPercent = 400

func serveCommand() *cobra.Command {
	command := &cobra.Command{Use: "serve", Short: "Run a gateway until SIGTERM", Args: cobra.NoArgs}
	file := command.Flags().String("config", "irispost.hcl", "the configuration")
	profile := command.Flags().String("cpu-profile", "", "write a profile of the processor's time there, until the end")
	newLog := addLogFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		conf, err := config.Load(*file)
		if err != nil {
			return err
		}
		stopProfile, err := startProfile(*profile)
		if err != nil {
			return err
		}
		defer stopProfile()
		if os.Getenv("GOGC") == "" {
			debug.SetGCPercent(gatewayGCPercent)
		}
		ctx, cancel := signalContext()
		defer cancel()
		gateway, err := serve.Start(conf, filepath.Dir(*file), newLog())
		if err != nil {
			return err
		}
		writef(command.OutOrStdout(), "gateway %s serves at %s\n", conf.Name, gateway.Frontend.Addr())
		if gateway.ISCSI != nil {
			writef(command.OutOrStdout(), "disks of %s at %s\n", conf.Name, gateway.ISCSI.Addr())
		}
		<-ctx.Done()
		cancel() // a second signal ends the program at once
		if err := shutdown(gateway, conf.ShutdownTimeout); err != nil {
			newLog().Warn("stopped", "gateway", conf.Name, "err", err)
		}
		return nil
	}
	return command
}

// startProfile writes a profile of the processor's time to a file until stop; without a file it does nothing.
func startProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	out, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	closeFile := func() { _ = out.Close() } // a profile that is incomplete cannot be read
	if err := pprof.StartCPUProfile(out); err != nil {
		closeFile()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		closeFile()
	}, nil
}
