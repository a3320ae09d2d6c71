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
		Short: "Run a gateway behind HTTP, as the platform's environment configures it"}
	newLog := addLogFlags(command)
	command.RunE = func(*cobra.Command, []string) error {
		signals := make(chan os.Signal, 8)
		signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
		conf, err := platform.Load(os.Getenv)
		if err != nil {
			return err
		}
		runtime.GOMAXPROCS(max(1, int(math.Ceil(conf.Cores))))
		debug.SetMemoryLimit(conf.MemoryBytes / 2) // of the heap and the runtime; the program's text counts as well
		log := newLog()
		gateway, err := serve.StartWebGateway(conf, log)
		if err != nil {
			return err
		}
		log.Info("the gateway serves", "gateway", conf.Name, "address", gateway.Frontend.Addr(),
			"cores", conf.Cores, "mb", conf.MemoryBytes>>20, "sockets", conf.MaxSockets)
		for s := range signals {
			if s != syscall.SIGHUP {
				break
			}
			reloaded, err := platform.Load(os.Getenv)
			if err != nil {
				log.Error("the new configuration is not taken, the old one stays", "gateway", conf.Name, "err", err)
				continue
			}
			gateway.Reload(reloaded)
		}
		log.Info("the gateway ends", "gateway", conf.Name)
		gateway.Shutdown()
		log.Info("the gateway has ended", "gateway", conf.Name)
		return nil
	}
	return command
}
