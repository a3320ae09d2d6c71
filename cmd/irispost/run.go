package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"runtime/pprof"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"irispost/examples"
	"irispost/internal/bench"
	"irispost/internal/config"
	"irispost/internal/day"
	"irispost/internal/endpoint"
	"irispost/internal/serve"
	"irispost/internal/standin"
)

// untilSignal ends with SIGINT or SIGTERM.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

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

func nodeCommand() *cobra.Command {
	c := &cobra.Command{Use: "node", Short: "Run a stand-in storage node", Args: cobra.NoArgs}
	o := standin.Options{DedupWindow: time.Minute}
	c.Flags().StringVar(&o.Addr, "listen", "127.0.0.1:7000", "address to serve at")
	c.Flags().IntVar(&o.Shard, "shard", 0, "shard that it holds")
	c.Flags().StringVar(&o.Zone, "zone", "", "zone that it stands in")
	c.Flags().IntVar(&o.Cores, "cores", 2, "executions carried out at a time")
	c.Flags().DurationVar(&o.UnitTime, "unit", 0, "time of a core for a unit")
	c.Flags().IntVar(&o.Queue, "queue", 256, "executions that may wait")
	c.Flags().BoolVar(&o.ORCA, "orca", false, "send load reports in ORCA form")
	dir := c.Flags().String("dir", "", "folder for the data; empty: in memory")
	c.RunE = func(c *cobra.Command, _ []string) (err error) {
		if o.Store, err = standin.NewStore(*dir); err != nil {
			return err
		}
		n, err := standin.Start(o)
		if err != nil {
			return err
		}
		writef(c.OutOrStdout(), "node of shard %d serves at %s\n", o.Shard, n.Addr())
		ctx, cancel := untilSignal()
		defer cancel()
		<-ctx.Done()
		n.Close()
		return nil
	}
	return c
}

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
				UnitTime: 2 * time.Millisecond, Queue: 256, DedupWindow: time.Minute, Seed: uint64(shard)})
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

func dayCommand() *cobra.Command {
	c := &cobra.Command{Use: "day FILE", Short: "Play a scripted day over loopback and check the seven rules", Args: cobra.ExactArgs(1)}
	out := c.Flags().String("report", "", "write the report there, as JSON")
	seed := c.Flags().Uint64("seed", 0, "another seed than the script's")
	inside := c.Flags().Bool("inside", false, "run the gateways in this process; they are processes of their own otherwise")
	captures := c.Flags().String("capture", "", "folder for captures of the gateways' modules")
	source := c.Flags().String("list", "own", "where gateways have their list from: own (a file), delta or whole (an xDS server, a stand-in)")
	verbose := c.Flags().Bool("gateway-logs", false, "show the gateways' logs")
	c.RunE = func(c *cobra.Command, args []string) error {
		s, err := day.Load(args[0])
		if err != nil {
			return err
		}
		if *seed > 0 {
			s.Seed = *seed
		}
		opt := day.Options{EndpointSource: *source, Logf: func(format string, a ...any) { writef(c.ErrOrStderr(), format+"\n", a...) }}
		if !*inside {
			if opt.Program, err = os.Executable(); err != nil {
				return err
			}
		}
		if *captures != "" {
			if opt.Capture, err = filepath.Abs(*captures); err != nil {
				return err
			}
		}
		if *verbose {
			opt.GatewayLog = c.ErrOrStderr()
		}
		ctx, cancel := untilSignal()
		defer cancel()
		r, err := day.Play(ctx, s, opt)
		if err != nil {
			return err
		}
		table(c, r)
		if *out != "" {
			b, err := json.MarshalIndent(r, "", "  ")
			if err != nil {
				return err
			}
			if err := renameio.WriteFile(*out, append(b, '\n'), 0o644); err != nil {
				return err
			}
		}
		if !r.Passed() {
			return errors.New("a rule is broken, or nothing was checked")
		}
		return nil
	}
	return c
}

func table(c *cobra.Command, r *day.Report) {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
	writef(w, "jobs\t%d\tcompleted %d, dismissed %d, written off %d, left %d, lost %d, answered twice %d, torn reads %d\n",
		r.Sent, r.Succeeded, r.Rejected, r.Failed, r.ClientCancelled, r.Lost, r.AnsweredTwice, r.TornReads)
	writef(w, "service\t%.3f\tof %d requests, with their further tries folded into the first\n", r.ServedShare, r.Requests)
	if a := r.Agreement; a != nil {
		writef(w, "agreement\t%d\tpairs of gateways over %d versions, longest contradiction %.1f ms of %.0f stated, broken %d %s\n", a.Pairs, a.Versions, a.WorstMillis,
			a.BoundMillis, a.Violations, a.FirstViolation)
	}
	writef(w, "\nproduct\tjobs\tin goal\tp50 ms\tp99 ms\n")
	for _, p := range r.Classes {
		writef(w, "%s\t%d\t%d\t%.1f\t%.1f\n", p.Name, p.Sent, p.WithinObjective, p.P50, p.P99)
	}
	writef(w, "\nrule\tchecked\tbroken\n")
	for _, rule := range r.Rules {
		writef(w, "%s\t%d\t%d\n", rule.Name, rule.Checked, rule.Violations)
		for _, first := range rule.Examples {
			writef(w, "    %s\n", first)
		}
	}
	_ = w.Flush()
}

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
