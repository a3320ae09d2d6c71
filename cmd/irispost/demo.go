package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"irispost/examples"
	"irispost/internal/config"
	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/replica"
	"irispost/internal/serve"
	"irispost/internal/standin"
)

func demoCommand() *cobra.Command {
	command := &cobra.Command{Use: "demo", Args: cobra.NoArgs,
		Short: "Run a gateway with three test storage nodes on loopback until Ctrl-C"}
	listen := command.Flags().String("listen", "127.0.0.1:2022", "address of the gateway's front end")
	replicas := command.Flags().Int("keepers", 0,
		"number of replicas to start as processes for the gateway to follow: 0, 1, 3 or 5")
	newLog := addLogFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		src, err := examples.Files.ReadFile("demo.hcl")
		if err != nil {
			return err
		}
		conf, err := config.Parse("demo.hcl", src)
		if err != nil {
			return err
		}
		dir, err := os.MkdirTemp("", "irispost-demo")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		list, closeNodes, err := startDemoNodes(conf.Shards)
		defer closeNodes()
		if err != nil {
			return err
		}
		if err := renameio.WriteFile(filepath.Join(dir, conf.Sources[0].File), endpoint.FormatList(list), 0o644); err != nil {
			return err
		}
		conf.Listen = *listen
		ctx, cancel := signalContext()
		defer cancel()
		hint := ""
		if *replicas > 0 {
			started, err := startDemoReplicas(*replicas, dir, conf, list)
			if err != nil {
				return err
			}
			defer started.stop()
			hint = started.hint
		}
		gateway, err := serve.Start(conf, dir, newLog())
		if err != nil {
			return err
		}
		writef(command.OutOrStdout(), `gateway %s serves at %s, over %d test nodes; its volume is /home

Try, in another terminal:
    go run ./cmd/irispost put --at %[2]s README.md /home/readme
    go run ./cmd/irispost ls --at %[2]s /home
    go run ./cmd/irispost get --at %[2]s /home/readme -
%[4]sPress Ctrl-C to stop. The files are kept in memory and are lost then.
`, conf.Name, gateway.Frontend.Addr(), conf.Shards, hint)
		<-ctx.Done()
		return shutdown(gateway, conf.ShutdownTimeout)
	}
	return command
}

// startDemoNodes starts an in-memory storage node for each shard. closeNodes closes all nodes that were started; it
// is never nil, also when an error is returned.
func startDemoNodes(shards int) (list endpoint.List, closeNodes func(), err error) {
	var nodes []*standin.Node
	closeNodes = func() {
		for i := len(nodes) - 1; i >= 0; i-- {
			nodes[i].Close()
		}
	}
	for shard := range shards {
		store, err := standin.NewStore("")
		if err != nil {
			return list, closeNodes, err
		}
		node, err := standin.Start(standin.Options{Addr: "127.0.0.1:0", Shard: shard, Store: store, Cores: 2,
			UnitTime: 2 * time.Millisecond, Queue: 256, DedupWindow: time.Minute, Seed: uint64(shard)})
		if err != nil {
			return list, closeNodes, err
		}
		nodes = append(nodes, node)
		list.Nodes = append(list.Nodes, endpoint.Node{Addr: node.Addr(), Shard: shard})
	}
	return list, closeNodes, nil
}

// demoReplicas is a group of replicas that run as processes.
type demoReplicas struct {
	addrs     []string
	processes []*exec.Cmd
	hint      string // example commands for the user
}

// startDemoReplicas starts replicas, proposes a first version with the endpoint list, and changes the configuration
// so that the gateway follows the replicas.
func startDemoReplicas(count int, dir string, conf *config.Config, list endpoint.List) (*demoReplicas, error) {
	if count != 1 && count != 3 && count != 5 {
		return nil, fmt.Errorf("--keepers %d: must be 0, 1, 3 or 5", count)
	}
	replicas, err := startReplicas(count, filepath.Join(dir, "keeper"))
	if err != nil {
		return nil, err
	}
	version := firstDemoVersion(conf, list)
	client := &replica.Client{Replicas: replicas.addrs, Timeout: 20 * time.Second}
	if _, err := client.Propose(newProposal("demo", "the demo's first version", version)); err != nil {
		replicas.stop()
		return nil, err
	}
	file := filepath.Join(dir, "rules.hcl")
	if err := os.WriteFile(file, formatVersion(version), 0o600); err != nil {
		replicas.stop()
		return nil, err
	}
	conf.Sources = nil
	conf.Follow = &config.FleetClient{Replicas: replicas.addrs, PollInterval: 400 * time.Millisecond}
	var pids []string
	for _, process := range replicas.processes {
		pids = append(pids, strconv.Itoa(process.Process.Pid))
	}
	replicas.hint = fmt.Sprintf(`
The gateway follows %d replicas with the process IDs %s. Try:
    export IRISPOST_KEEPERS=%s
    go run ./cmd/irispost fleet status
    go run ./cmd/irispost versions propose --why "a lower limit" %s    # edit the file first
    go run ./cmd/irispost versions log
    kill -9 %s && go run ./cmd/irispost fleet status
`, count, strings.Join(pids, ", "), strings.Join(replicas.addrs, ","), file, pids[0])
	return replicas, nil
}

func firstDemoVersion(conf *config.Config, list endpoint.List) *configversion.Config {
	version := &configversion.Config{
		RequiredFormat:   configversion.Format,
		Shards:           conf.Shards,
		MeanRequestUnits: 1,
		FallbackPolicy:   configversion.FallbackPolicy{Duration: int64(time.Minute), LimitFraction: 1, AllowWrites: true},
	}
	version.SetFromSettings(conf.Settings)
	for _, node := range list.Nodes {
		version.Nodes[node.Addr] = configversion.Node{Shard: node.Shard}
	}
	return version
}

// startReplicas starts replicas as processes of this program, each with a directory of its own below dir.
func startReplicas(count int, dir string) (*demoReplicas, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	replicas := &demoReplicas{}
	var reserved []net.Listener // each reserves an address until its replica starts
	var peers []string
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		reserved = append(reserved, listener)
		replicas.addrs = append(replicas.addrs, listener.Addr().String())
		peers = append(peers, "--peer", fmt.Sprintf("%d=%s", i+1, listener.Addr()))
	}
	for i, addr := range replicas.addrs {
		_ = reserved[i].Close()
		number := strconv.Itoa(i + 1)
		args := []string{"replica", "--number", number, "--listen", addr, "--dir", filepath.Join(dir, number)}
		process := exec.Command(self, append(args, peers...)...)
		if err := process.Start(); err != nil {
			replicas.stop()
			return nil, err
		}
		replicas.processes = append(replicas.processes, process)
	}
	return replicas, nil
}

// stop kills the processes and waits for them to exit.
func (r *demoReplicas) stop() {
	for _, process := range r.processes {
		_ = process.Process.Kill()
		_ = process.Wait() // the error only reports the kill
	}
}

// shutdown stops a gateway gracefully; requests in flight have until the timeout to complete.
func shutdown(gateway *serve.Gateway, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return gateway.Shutdown(ctx)
}
