package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/fleet/accord"
	"irispost/internal/fleet/follow"
	"irispost/internal/fleet/keep"
	"irispost/internal/fleet/rules"
	"irispost/internal/scale/meter"
)

// crowd is many followers of three keepers, over real sockets.
type crowd struct {
	addrs  []string
	list   []*follow.Following
	client *keep.Client
	log    *slog.Logger
	want   atomic.Pointer[string] // how what all should act on is named
	there  atomic.Int64           // that do
	all    chan struct{}
}

// sized is the n-th version of a measurement: 100 nodes, and a limit that changes.
func sized(n int) *accord.Proposal {
	r := &rules.Rules{Needs: rules.Form, Shards: 100, Mean: 1, Plans: map[string]rules.Plan{"gold": {Weight: 1, Limit: float64(n)}},
		Sending: rules.Sending{Most: 1}, Nodes: map[string]rules.Node{}}
	for i := range r.Shards {
		r.Nodes[fmt.Sprintf("10.0.0.%d:7000", i)] = rules.Node{Shard: i, Zone: "a"}
	}
	return &accord.Proposal{ID: strconv.Itoa(n), Parent: uint64(n - 1), Over: true, Why: "measured", Rules: r.Canonical()}
}

// expect has the followers be waited for that act on a version alone.
func (c *crowd) expect(n int) {
	text := strconv.Itoa(n) + "."
	c.there.Store(0)
	c.want.Store(&text)
}

func (c *crowd) wait() error {
	select {
	case <-c.all:
		return nil
	case <-time.After(2 * time.Minute):
		return fmt.Errorf("%d of %d followers act on version %s", c.there.Load(), len(c.list), *c.want.Load())
	}
}

// begin starts a follower.
func (c *crowd) begin(i int) (err error) {
	var last atomic.Pointer[string]
	ready := make(chan struct{})
	now := func() int64 { return time.Now().UnixNano() }
	o := follow.Options{Gateway: fmt.Sprint("g", i), Keepers: c.addrs, Pause: 400 * time.Millisecond, Now: now, Seed: uint64(i), Log: c.log}
	o.Wake = func() {
		<-ready
		c.list[i].At(now())
		_, acts := c.list[i].Status()
		if w := c.want.Load(); strings.HasPrefix(acts, *w) && !strings.Contains(acts, "&") && last.Swap(w) != w && c.there.Add(1) == int64(len(c.list)) {
			c.all <- struct{}{}
		}
	}
	c.list[i], err = follow.Start(o)
	close(ready)
	return err
}

func sizeCommand() *cobra.Command {
	c := &cobra.Command{Use: "bench", Short: "Measure keepers with many followers on this machine", Args: cobra.NoArgs}
	count := c.Flags().Int("followers", 300, "followers, all in this process")
	changes := c.Flags().Int("changes", 40, "versions to be proposed one after another")
	idle := c.Flags().Duration("idle", 10*time.Second, "time for which the keepers are watched at rest")
	c.RunE = func(c *cobra.Command, _ []string) error {
		return measureSize(c.OutOrStdout(), *count, max(*changes, 1), *idle)
	}
	return c
}

func measureSize(out io.Writer, count, changes int, idle time.Duration) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "irispost-fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	m := &crowd{list: make([]*follow.Following, count), log: slog.New(slog.NewTextHandler(io.Discard, nil)), all: make(chan struct{}, 1)}
	addrs, keepers, end, err := startKeepers(self, 3, dir)
	if err != nil {
		return err
	}
	defer end()
	m.addrs, m.client = addrs, &keep.Client{Keepers: addrs, Within: 30 * time.Second}
	if _, err := m.client.Propose(sized(1)); err != nil {
		return err
	}
	for _, what := range []string{"first start", "all start again at once"} {
		for _, f := range m.list {
			if f != nil {
				f.Close()
			}
		}
		m.expect(1)
		at := time.Now()
		for i := range m.list {
			if err := m.begin(i); err != nil {
				return err
			}
		}
		if err := m.wait(); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: all of %d act on the version after %d ms\n", what, count, time.Since(at).Milliseconds())
	}
	time.Sleep(idle / 4) // what the start has left to do
	var before []time.Duration
	for _, k := range keepers {
		used, err := meter.Process(k.Process.Pid)
		if err != nil {
			return err
		}
		before = append(before, used.CPU)
	}
	time.Sleep(idle)
	for i, k := range keepers {
		used, err := meter.Process(k.Process.Pid)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "idle, keeper %d: %.1f%% of a core, %.1f MB\n", i+1, 100*float64(used.CPU-before[i])/float64(idle), used.MB)
	}
	var announced, acting []time.Duration
	for n := 2; n <= changes+1; n++ {
		m.expect(n)
		at := time.Now()
		if _, err := m.client.Propose(sized(n)); err != nil {
			return err
		}
		announced = append(announced, time.Since(at))
		if err := m.wait(); err != nil {
			return err
		}
		acting = append(acting, time.Since(at))
	}
	slices.Sort(announced)
	slices.Sort(acting)
	half := changes / 2
	fmt.Fprintf(out, "from proposal to announced: median %v, worst %v; to all acting on it alone: median %v, worst %v\n", announced[half], announced[changes-1],
		acting[half], acting[changes-1])
	return nil
}
