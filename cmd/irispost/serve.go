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

// gatewayGCPercent lets the heap grow to five times the live heap before a collection: a gateway allocates a lot for
// the requests that pass through it and keeps little. GOGC overrides it, and GOMEMLIMIT still applies.
const gatewayGCPercent = 400

func serveCommand() *cobra.Command {
	command := &cobra.Command{Use: "serve", Short: "Run a gateway until SIGINT or SIGTERM", Args: cobra.NoArgs}
	file := command.Flags().String("config", "irispost.hcl", "configuration file")
	profile := command.Flags().String("cpu-profile", "", "write a CPU profile of the whole run to this file")
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
		cancel() // from here on, a second signal kills the process immediately
		if err := shutdown(gateway, conf.ShutdownTimeout); err != nil {
			newLog().Warn("gateway did not shut down cleanly", "gateway", conf.Name, "err", err)
		}
		return nil
	}
	return command
}

// startProfile writes a CPU profile to a file until stop is called. It does nothing if file is empty.
func startProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	out, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	closeFile := func() { _ = out.Close() } // a failed close leaves a truncated profile, which pprof rejects
	if err := pprof.StartCPUProfile(out); err != nil {
		closeFile()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		closeFile()
	}, nil
}
