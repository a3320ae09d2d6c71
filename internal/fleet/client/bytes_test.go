package client

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// counted is a connection whose bytes are counted, both ways.
type counted struct {
	net.Conn
	to *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.to.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.to.Add(int64(n))
	return n, err
}

// large is a version of so many nodes, the n-th of which has been replaced.
func large(nodes, n int) []byte {
	r := &configversion.Config{RequiredFormat: 1, Shards: nodes, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{"gold": {Weight: 1}}, Dispatch: configversion.DispatchPolicy{MaxAttempts: 1},
		RequestClasses: map[string]configversion.RequestClass{}, Nodes: map[string]configversion.Node{}}
	for i := range nodes {
		addr := fmt.Sprintf("10.%d.%d.%d:7000", i%7, i/250, i%250)
		if i == n {
			addr = "10.9.9.9:7000"
		}
		r.Nodes[addr] = configversion.Node{Name: fmt.Sprint("node-", i), Zone: fmt.Sprint("z", i%7), Shard: i, StartedAt: 1764650723000000000 + int64(i)*7919}
	}
	return r.Canonical()
}

// group is followers over real sockets, of which all bytes are counted.
type group struct {
	t     *testing.T
	list  []*Client
	bytes atomic.Int64
}

func (g *group) start(count int, addrs []string, change func(i int, o *Options)) {
	for i := range count {
		o := Options{Gateway: fmt.Sprint("g", i), Replicas: addrs, RenewInterval: 400 * time.Millisecond, Now: func() int64 { return time.Now().UnixNano() }, Seed: uint64(i),
			OnChange: func() {}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
				return counted{c, &g.bytes}, err
			}}
		if change != nil {
			change(i, &o)
		}
		f, err := Start(o)
		if err != nil {
			g.t.Fatal(err)
		}
		g.list = append(g.list, f)
		g.t.Cleanup(f.Close)
	}
}

// act waits until all act on a version alone.
func (g *group) act(n int) {
	g.t.Helper()
	for deadline := time.Now().Add(2 * time.Minute); ; time.Sleep(5 * time.Millisecond) {
		there, last := 0, ""
		for _, f := range g.list {
			f.At(time.Now().UnixNano())
			if _, acts := f.Status(); strings.HasPrefix(acts, fmt.Sprint(n, ".")) && !strings.Contains(acts, "&") {
				there++
			} else {
				last = f.opt.Gateway + ": " + acts
			}
		}
		if there == len(g.list) {
			return
		}
		if time.Now().After(deadline) {
			g.t.Fatalf("%d of %d act on version %d; %s", there, len(g.list), n, last)
		}
	}
}

// A change of one node of 1,800 costs a gateway far less than the list. IRISPOST_MEASURE=1 measures longer, with what a gateway at rest costs.
func TestBytesOfAChange(t *testing.T) {
	const nodes = 1800
	count, changes, rest := 8, 4, time.Duration(0)
	if os.Getenv("IRISPOST_MEASURE") == "1" {
		count, changes, rest = 50, 20, 30*time.Second
	}
	addrs, _ := processes(t)
	c := &replica.Client{Replicas: addrs, Timeout: 30 * time.Second}
	propose := func(n int) {
		if _, err := c.Propose(&lease.Proposal{ID: fmt.Sprint(n), Parent: uint64(n - 1), ReplacePending: true, Content: large(nodes, n)}); err != nil {
			t.Fatal(err)
		}
	}
	propose(1)
	g := &group{t: t}
	g.start(count, addrs, nil)
	g.act(1)
	start := g.bytes.Load()
	each := func(n int64) float64 { return float64(n) / float64(count) }
	t.Logf("%d followers, a content of %d bytes: start %.0f bytes a follower", count, len(large(nodes, 1)), each(start))
	idle := 0.0
	if rest > 0 {
		time.Sleep(2 * time.Second)
		before := g.bytes.Load()
		time.Sleep(rest)
		idle = each(g.bytes.Load()-before) / rest.Seconds()
		t.Logf("at rest %.0f bytes/s a follower", idle)
	}
	before, at := g.bytes.Load(), time.Now()
	for n := 2; n <= changes+1; n++ {
		propose(n)
		g.act(n)
	}
	took := time.Since(at).Seconds()
	all := each(g.bytes.Load() - before)
	t.Logf("%d changes in %.1f s: %.0f bytes each, %.0f without those at rest", changes, took, all/float64(changes), (all-idle*took)/float64(changes))
	if whole := float64(len(large(nodes, 1))); all/float64(changes) > whole/8 { // a list whole and packed is a sixth of it
		t.Errorf("%.0f bytes a change and follower, where the list has %.0f", all/float64(changes), whole)
	}
}
