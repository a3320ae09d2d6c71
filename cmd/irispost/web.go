package main

import (
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"irispost/internal/platform"
	"irispost/internal/serve"
)

func webCommand() *cobra.Command {
	command := &cobra.Command{Use: "web", Args: cobra.NoArgs,
		Short: "Run a gateway with an HTTP front end, configured by the platform's environment"}
	newLog := addLogFlags(command)
	command.RunE = func(*cobra.Command, []string) error {
		signals := make(chan os.Signal, 8)
		signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
		conf, err := platform.Load(os.Getenv)
		if err != nil {
			return err
		}
		runtime.GOMAXPROCS(max(1, int(math.Ceil(conf.Cores))))
		// The limit covers the Go heap and runtime. The program text, which it does not cover, takes memory as well.
		debug.SetMemoryLimit(conf.MemoryBytes / 2)
		log := newLog()
		gateway, err := serve.StartWebGateway(conf, log)
		if err != nil {
			return err
		}
		log.Info("gateway is serving", "gateway", conf.Name, "address", gateway.Frontend.Addr(),
			"cores", conf.Cores, "mb", conf.MemoryBytes>>20, "sockets", conf.MaxSockets)
		for s := range signals {
			if s != syscall.SIGHUP {
				break
			}
			reloaded, err := platform.Load(os.Getenv)
			if err != nil {
				log.Error("configuration reload failed, keeping the current configuration", "gateway", conf.Name, "err", err)
				continue
			}
			gateway.Reload(reloaded)
		}
		log.Info("gateway is shutting down", "gateway", conf.Name)
		gateway.Shutdown()
		log.Info("gateway has shut down", "gateway", conf.Name)
		return nil
	}
	return command
}
