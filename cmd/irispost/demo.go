package main

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"irispost/examples"
	"irispost/internal/config"
	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/serve"
	"irispost/internal/standin"
)

func demoCommand() *cobra.Command {
	c := &cobra.Command{Use: "demo", Short: "Run three stand-in nodes and a gateway on loopback until Ctrl-C", Args: cobra.NoArgs}
	listen := c.Flags().String("listen", "127.0.0.1:2022", "address of the gateway")
	count := c.Flags().Int("keepers", 0, "keepers that the gateway follows, as processes: 0, 1, 3 or 5")
	log := logs(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
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
		var l endpoint.List
		for shard := range conf.Shards {
			store, err := standin.NewStore("")
			if err != nil {
				return err
			}
			n, err := standin.Start(standin.Options{Addr: "127.0.0.1:0", Shard: shard, Store: store, Cores: 2,
				Unit: 2 * time.Millisecond, Queue: 256, Marks: time.Minute, Seed: uint64(shard)})
			if err != nil {
				return err
			}
			defer n.Close()
			l.Nodes = append(l.Nodes, endpoint.Node{Addr: n.Addr(), Shard: shard})
		}
		if err := renameio.WriteFile(filepath.Join(dir, conf.Sources[0].File), endpoint.FormatList(l), 0o644); err != nil {
			return err
		}
		conf.Listen = *listen
		ctx, cancel := untilSignal()
		defer cancel()
		more := ""
		if *count > 0 {
			var end func()
			if more, end, err = demoKeepers(*count, dir, conf, l); err != nil {
				return err
			}
			defer end()
		}
		g, err := serve.Start(conf, dir, log())
		if err != nil {
			return err
		}
		writef(c.OutOrStdout(), `gateway %s serves at %s, over %d stand-in nodes; its volume is /home

Try, in another terminal:
    go run ./cmd/irispost put --at %[2]s README.md /home/readme
    go run ./cmd/irispost ls --at %[2]s /home
    go run ./cmd/irispost get --at %[2]s /home/readme -
%[4]sCtrl-C ends it; the files are in memory and go with it.
`, conf.Name, g.Frontend.Addr(), conf.Shards, more)
		<-ctx.Done()
		last, end := context.WithTimeout(context.Background(), conf.ShutdownTimeout)
		defer end()
		return g.Shutdown(last)
	}
	return c
}

// demoKeepers starts keepers as processes, proposes the list as the first version and has a gateway follow. It returns what to try.
func demoKeepers(count int, dir string, conf *config.Config, l endpoint.List) (text string, end func(), err error) {
	if count != 1 && count != 3 && count != 5 {
		return "", nil, fmt.Errorf("--keepers %d: one, three or five", count)
	}
	self, err := os.Executable()
	if err != nil {
		return "", nil, err
	}
	addrs, started, end, err := startKeepers(self, count, filepath.Join(dir, "keeper"))
	if err != nil {
		return "", nil, err
	}
	var pids []string
	for _, cmd := range started {
		pids = append(pids, strconv.Itoa(cmd.Process.Pid))
	}
	r := &configversion.Config{RequiredFormat: configversion.Format, Shards: conf.Shards, MeanRequestUnits: 1, FallbackPolicy: configversion.FallbackPolicy{Duration: int64(time.Minute), LimitFraction: 1, AllowWrites: true}}
	r.SetFromSettings(conf.Settings)
	for _, n := range l.Nodes {
		r.Nodes[n.Addr] = configversion.Node{Shard: n.Shard}
	}
	client := &replica.Client{Replicas: addrs, Timeout: 20 * time.Second}
	if _, err := client.Propose(&lease.Proposal{ID: "demo", Author: author(), Reason: "the demo's first version", CreatedAt: time.Now().UTC().Format(time.RFC3339),
		Content: r.Canonical()}); err != nil {
		end()
		return "", nil, err
	}
	file := filepath.Join(dir, "rules.hcl")
	if err := os.WriteFile(file, demoRules(r), 0o600); err != nil {
		end()
		return "", nil, err
	}
	conf.Sources, conf.Follow = nil, &config.FleetClient{Replicas: addrs, PollInterval: 400 * time.Millisecond}
	return fmt.Sprintf(`
The gateway follows %d keepers, processes %s. Try:
    export IRISPOST_KEEPERS=%s
    go run ./cmd/irispost fleet status
    go run ./cmd/irispost rules propose --why "a lower limit" %s    # edit it first
    go run ./cmd/irispost rules log
    kill -9 %s && go run ./cmd/irispost fleet status
`, count, strings.Join(pids, ", "), strings.Join(addrs, ","), file, pids[0]), end, nil
}

// startKeepers starts keepers as processes, each with a folder under one. end ends them.
func startKeepers(self string, count int, dir string) (addrs []string, started []*exec.Cmd, end func(), err error) {
	var args []string
	var held []net.Listener
	for i := range count {
		h, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, nil, err
		}
		held, addrs = append(held, h), append(addrs, h.Addr().String())
		args = append(args, "--peer", fmt.Sprintf("%d=%s", i+1, h.Addr()))
	}
	end = func() {
		for _, cmd := range started {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	for i := range count {
		_ = held[i].Close()
		number := strconv.Itoa(i + 1)
		cmd := exec.Command(self, append([]string{"keeper", "--number", number, "--listen", addrs[i], "--dir", filepath.Join(dir, number)}, args...)...)
		if err := cmd.Start(); err != nil {
			end()
			return nil, nil, nil, err
		}
		started = append(started, cmd)
	}
	return addrs, started, end, nil
}

// demoRules writes rules as a file that can be changed and proposed.
func demoRules(r *configversion.Config) []byte {
	out := fmt.Appendf(nil, "shards = %d\n\nfloor {\n  for    = %q\n  writes = true\n}\n", r.Shards, time.Duration(r.FallbackPolicy.Duration))
	for _, name := range slices.Sorted(maps.Keys(r.ServiceLevels)) {
		p := r.ServiceLevels[name]
		out = fmt.Appendf(out, "\nplan %q {\n  weight  = %v\n  rate    = %v\n  reserve = %v\n  limit   = %v # units a second; 0: none\n  burst   = %v\n  slack   = %v\n}\n", name,
			p.Weight, p.NominalRate, p.Reserve, p.RateLimit, p.Burst, p.Slack)
	}
	for _, name := range slices.Sorted(maps.Keys(r.RequestClasses)) {
		p := r.RequestClasses[name]
		kind, group, found := strings.Cut(string(p.Idempotency), " ")
		if !found {
			group = "all"
		}
		out = fmt.Appendf(out, "\nproduct %q {\n  kind     = %q\n  group    = %q\n  goal     = %q\n  patience = %q\n  window   = %q\n  in_turn  = %v\n}\n", name, kind, group,
			time.Duration(p.LatencyObjective), time.Duration(p.ClientTimeout), time.Duration(p.DedupWindow), p.Ordered)
	}
	return append(append(out, '\n'), endpoint.FormatList(r.EndpointList(""))...)
}
