package main

import (
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"os/user"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/config"
	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

func keeperCommand() *cobra.Command {
	c := &cobra.Command{Use: "keeper", Short: "Keep the versions of settings and lists, together with other keepers", Args: cobra.NoArgs,
		Long: `A keeper holds the log of versions that gateways act on, with two or four others. Each is started with its own number, the
addresses of all, and a folder that nobody else uses. See docs/fleet.md.`}
	o := replica.Options{LeaseSettings: lease.Settings{}}
	c.Flags().Uint64Var(&o.ID, "number", 0, "this keeper's number, from 1")
	c.Flags().StringVar(&o.Listen, "listen", "127.0.0.1:7100", "address to serve at")
	c.Flags().StringVar(&o.Dir, "dir", "", "folder for what lasts")
	lease := c.Flags().Duration("lease", 2*time.Second, "how long a gateway acts on what it was told; counts at the founding")
	c.Flags().Float64Var(&o.LeaseSettings.MaxClockDrift, "drift", 0.01, "part by which clocks run fast or slow at most; counts at the founding")
	c.Flags().DurationVar(&o.TickInterval, "tick", 50*time.Millisecond, "a leader that is silent for ten to twenty ticks is replaced")
	c.Flags().Uint64Var(&o.CompactionEntries, "compact", 2000, "entries of the log that are kept before it is compacted")
	peers := c.Flags().StringToString("peer", nil, "NUMBER=ADDRESS of each keeper, with this one")
	c.Flags().BoolVar(&o.Joining, "join", false, "come to keepers that are there already: it votes once 'irispost fleet keepers --add' has taken it in")
	log := logs(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if o.Dir == "" || o.ID == 0 {
			return fmt.Errorf("a keeper needs --number and --dir")
		}
		if *lease < 100*time.Millisecond || o.LeaseSettings.MaxClockDrift < 0 || o.LeaseSettings.MaxClockDrift > 0.2 {
			return fmt.Errorf("a lease of %v with a drift of %v: at least 100ms and at most 0.2", *lease, o.LeaseSettings.MaxClockDrift)
		}
		o.LeaseSettings.LeaseDuration, o.Peers, o.Logger = int64(*lease), map[uint64]string{}, log()
		for _, name := range slices.Sorted(maps.Keys(*peers)) {
			n, err := strconv.ParseUint(name, 10, 32)
			if err != nil || n == 0 {
				return fmt.Errorf("--peer %s: a keeper's number is from 1 on", name)
			}
			o.Peers[n] = (*peers)[name]
		}
		ctx, cancel := untilSignal()
		defer cancel()
		k, err := replica.Start(o)
		if err != nil {
			return err
		}
		writef(c.OutOrStdout(), "keeper %d serves at %s\n", o.ID, k.Addr())
		select {
		case <-ctx.Done():
			k.Close()
			return nil
		case <-k.Done():
			return k.Err()
		}
	}
	return c
}

// keepers adds the flags for speaking to keepers.
func keepers(c *cobra.Command) func() (*replica.Client, error) {
	list := c.PersistentFlags().StringSlice("keepers", nil, "addresses of the keepers (or IRISPOST_KEEPERS)")
	within := c.PersistentFlags().Duration("within", 10*time.Second, "how long to wait for an answer")
	return func() (*replica.Client, error) {
		if len(*list) == 0 {
			if s := os.Getenv("IRISPOST_KEEPERS"); s != "" {
				*list = strings.Split(s, ",")
			}
		}
		if len(*list) == 0 {
			return nil, fmt.Errorf("name the keepers: --keepers 10.0.0.1:7100,10.0.0.2:7100,10.0.0.3:7100")
		}
		return &replica.Client{Replicas: *list, Timeout: *within}, nil
	}
}

func rulesCommand() *cobra.Command {
	root := &cobra.Command{Use: "rules", Short: "Versions of settings and lists: propose, show, diff, log"}
	dial := keepers(root)
	propose := &cobra.Command{Use: "propose FILE", Short: "Propose a version and wait until it is announced", Args: cobra.ExactArgs(1)}
	why := propose.Flags().String("why", "", "the reason, for the log")
	parent := propose.Flags().Int64("parent", -1, "the version that it was made of; otherwise the newest")
	over := propose.Flags().Bool("over", false, "in place of a version that is announced and not in force yet")
	propose.RunE = func(c *cobra.Command, args []string) error {
		if *why == "" {
			return fmt.Errorf("a change needs --why, for those who read the log later")
		}
		src, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		r, err := config.ParseRules(args[0], src)
		if err != nil {
			return err
		}
		client, err := dial()
		if err != nil {
			return err
		}
		p := &lease.Proposal{ID: fmt.Sprintf("%d.%d", os.Getpid(), time.Now().UnixNano()), Parent: uint64(max(*parent, 0)), ReplacePending: *over, Author: author(),
			Reason: *why, CreatedAt: time.Now().UTC().Format(time.RFC3339), Content: r.Canonical()}
		if *parent < 0 {
			s, err := client.Status()
			if err != nil {
				return err
			}
			p.Parent = s.Announced
		}
		v, err := client.Propose(p)
		if err != nil {
			return err
		}
		writef(c.OutOrStdout(), "version %s is announced\n", v.Name())
		return nil
	}
	show := &cobra.Command{Use: "show [NUMBER]", Short: "Show a version, the newest if none is named", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			v, err := versionBy(dial, args...)
			if err != nil {
				return err
			}
			writef(c.OutOrStdout(), "version %s of %d, by %s at %s: %s\n%s\n", v.Name(), v.Parent, v.Author, v.CreatedAt, v.Reason, v.Content)
			return nil
		}}
	diff := &cobra.Command{Use: "diff A B", Short: "Show what has changed from a version to another, and what contradicts", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var opened [2]*configversion.Config
			for i := range opened {
				v, err := versionBy(dial, args[i])
				if err == nil {
					opened[i], err = v.Config()
				}
				if err != nil {
					return err
				}
			}
			for _, line := range configversion.Diff(opened[0], opened[1]) {
				writeln(c.OutOrStdout(), line)
			}
			for _, line := range configversion.Conflicts(opened[0], opened[1]) {
				writeln(c.OutOrStdout(), "contradicts:", line)
			}
			return nil
		}}
	list := &cobra.Command{Use: "log", Short: "List all versions: who, what, when and why", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := dial()
			if err != nil {
				return err
			}
			all, err := client.Versions(1)
			if err != nil {
				return err
			}
			if len(all) > 0 && all[0].Number > 1 {
				writef(c.OutOrStdout(), "versions before %d are not known any more to the keeper that leads, or were made before it joined\n", all[0].Number)
			}
			var before *configversion.Config
			for _, v := range all {
				writef(c.OutOrStdout(), "%s  of %d  %s  %s: %s\n", v.Name(), v.Parent, v.CreatedAt, v.Author, v.Reason)
				if v.Content == nil {
					writeln(c.OutOrStdout(), "    its content is not kept any more")
					before = nil
					continue
				}
				r, err := v.Config()
				if err != nil {
					writeln(c.OutOrStdout(), "   ", err)
					continue
				}
				if before != nil {
					for _, line := range configversion.Diff(before, r) {
						writeln(c.OutOrStdout(), "   ", line)
					}
				}
				before = r
			}
			return nil
		}}
	root.AddCommand(propose, show, diff, list)
	return root
}

// version fetches a version by its number, or the newest.
func versionBy(dial func() (*replica.Client, error), args ...string) (*configversion.Version, error) {
	client, err := dial()
	if err != nil {
		return nil, err
	}
	if len(args) == 0 {
		s, err := client.Status()
		if err == nil && s.Latest == nil {
			err = fmt.Errorf("there is no version yet")
		}
		return s.Latest, err
	}
	n, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%q is no version's number", args[0])
	}
	v, err := client.Version(n)
	switch {
	case err != nil:
		return nil, err
	case v == nil:
		return nil, fmt.Errorf("there is no version %d, or the keeper that leads knows it no more", n)
	case v.Content == nil:
		return nil, fmt.Errorf("the content of version %s is not kept any more; it was made of %d by %s, %s: %s", v.Name(), v.Parent, v.Author, v.CreatedAt, v.Reason)
	}
	return v, nil
}

// author is who runs the program, for the log.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func fleetCommand() *cobra.Command {
	root := &cobra.Command{Use: "fleet", Short: "How the gateways that follow versions stand"}
	dial := keepers(root)
	status := &cobra.Command{Use: "status", Short: "Show each gateway: its state, version, lease and last word", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := dial()
			if err != nil {
				return err
			}
			s, err := client.Status()
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			writef(out, "keeper %d leads in term %d; in force %d, announced %d; lease %d ms, stated time %d ms\n", s.Leader, s.Term, s.InForce, s.Announced, s.LeaseMillis, s.ConvergenceBoundMillis)
			for _, w := range s.WaitingFor {
				writeln(out, "waits for", w)
			}
			w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			writeln(w, "gateway\tstate\tholds\tlease ms\theard ms ago\t")
			for _, g := range s.Gateways {
				note := g.Fault
				if g.Unresponsive {
					note = "HANGS " + note
				}
				writef(w, "%s\t%s\t%v\t%d\t%d\t%s\n", g.Holder, g.State, g.HeldVersions, g.LeaseLeftMillis, g.LastHeardMillis, note)
			}
			return w.Flush()
		}}
	change := &cobra.Command{Use: "keepers", Short: "Show who keeps the versions, or change it: --add 4=10.0.0.4:7100 --remove 2", Args: cobra.NoArgs}
	add := change.Flags().StringToString("add", nil, "NUMBER=ADDRESS of a keeper that was started with --join; the number was never used")
	remove := change.Flags().UintSlice("remove", nil, "number of a keeper that is to vote no more; it can be ended then")
	change.RunE = func(c *cobra.Command, _ []string) error {
		client, err := dial()
		if err != nil {
			return err
		}
		if len(*add)+len(*remove) > 0 {
			v := &replica.MembershipChange{Add: map[uint64]string{}}
			for name, addr := range *add {
				n, err := strconv.ParseUint(name, 10, 32)
				if err != nil || n == 0 {
					return fmt.Errorf("--add %s=%s: a keeper's number is from 1 on", name, addr)
				}
				v.Add[n] = addr
			}
			for _, n := range *remove {
				v.Remove = append(v.Remove, uint64(n))
			}
			if err := client.ChangeMembership(v); err != nil {
				return err
			}
		}
		s, err := client.Status()
		if err != nil {
			return err
		}
		writef(c.OutOrStdout(), "keepers %v vote, %d leads\n", s.Voters, s.Leader)
		return nil
	}
	root.AddCommand(status, change, sizeCommand(), scaleCommand())
	return root
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
