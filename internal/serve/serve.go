// Package serve puts a gateway together from its configuration: the list's source, the connections to nodes, the loop
// with the module, and the front.
package serve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"irispost/internal/admin"
	"irispost/internal/backend/node"
	"irispost/internal/config"
	"irispost/internal/endpoint/filesource"
	"irispost/internal/endpoint/manager"
	"irispost/internal/endpoint/xds"
	"irispost/internal/fleet/client"
	"irispost/internal/fleet/slowstart/agent"
	"irispost/internal/front"
	"irispost/internal/gateway"
	"irispost/internal/iscsi/target"
	"irispost/internal/scsi"
	"irispost/internal/sftp"
)

// Gateway is a running gateway.
type Gateway struct {
	Config   *config.Config
	Loop     *gateway.Loop
	Frontend *front.Front
	ISCSI    *target.Server // nil: none
	since    time.Time
	admin    *admin.Server // nil: none
	captures captures
	roster   *manager.Manager
	cold     *agent.Agent   // nil: other gateways do not reach it
	follow   *client.Client // nil: it follows no keepers
	nodes    *node.Client
	log      *slog.Logger
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Start starts a gateway. Relative names of files count from base.
func Start(c *config.Config, base string, log *slog.Logger) (*Gateway, error) {
	from := func(file string) string {
		if filepath.IsAbs(file) {
			return file
		}
		return filepath.Join(base, file)
	}
	var sources []manager.NamedSource
	for _, s := range c.Sources {
		n := manager.NamedSource{Name: s.Name}
		switch s.Kind {
		case "own":
			n.Source = filesource.Source{Path: from(s.File)}
		case "xds-file":
			n.Source = xds.FileSource{Clusters: from(s.Clusters), Endpoints: from(s.Endpoints), Log: log}
		case "xds":
			opt := s.XDS
			opt.Seed, opt.Log = c.Seed, log
			n.Source = xds.NewClient(opt)
		}
		sources = append(sources, n)
	}
	if c.EndpointCacheDir != "" {
		c.EndpointCacheDir = from(c.EndpointCacheDir)
	}
	return StartWithSources(c, sources, log)
}

// StartWithSources starts a gateway with other sources of lists.
func StartWithSources(c *config.Config, sources []manager.NamedSource, log *slog.Logger) (*Gateway, error) {
	bounds := sftp.DefaultLimits
	bounds.MaxPacket = max(2*c.Limits.Wire.MaxPacket, 4<<20) // a node's listing may be longer than a client's packet
	g := &Gateway{Config: c, log: log, since: time.Now(), nodes: node.NewClient(c.ConnectTimeout, c.ConnectionsPerNode, bounds, log)}
	var tap gateway.Tap
	if c.CaptureDir != "" && c.CaptureAtStart {
		if err := g.captures.begin(g, ""); err != nil {
			return nil, err
		}
		tap = g.captures.record
	}
	opt := gateway.Options{Name: c.Name, Seed: c.Seed, Settings: c.Settings, QueueSize: c.EventQueueLength, Clock: gateway.NewClock(), Nodes: g.nodes, Log: log, Tap: tap}
	first := (<-chan struct{})(nil)
	if c.Follow != nil {
		var err error
		if first, err = g.followed(&opt); err != nil {
			return nil, err
		}
	} else {
		g.Loop = gateway.Start(opt)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.roster = manager.Start(manager.Options{Gateway: c.Name, Settings: c.Membership, Sources: sources, Dir: c.EndpointCacheDir, Now: g.Loop.Now,
		OnChange: g.Loop.UpdateEndpoints, Log: log})
	select { // so that the first client meets a gateway that knows its nodes
	case <-g.first(first):
	case <-time.After(c.FirstListTimeout):
		log.Warn("not all sources of the list of nodes have spoken, clients are served with what is known", "gateway", c.Name, "after", c.FirstListTimeout)
	}
	f, err := front.Start(c.Listen, front.Options{Name: c.Name, Loop: g.Loop, Volumes: c.Volumes, Shards: c.Shards,
		Extent: c.ExtentBytes, Units: c.Units, Limits: c.Limits, Log: log})
	if err != nil {
		g.stopAll()
		return nil, err
	}
	g.Frontend = f
	if c.Disks != nil {
		if g.ISCSI, err = g.disks(ctx); err != nil {
			g.Frontend.Close()
			g.stopAll()
			return nil, err
		}
	}
	if c.AdminSocket != "" {
		if g.admin, err = admin.Listen(c.AdminSocket, g); err != nil {
			g.closeDisks()
			g.Frontend.Close()
			g.stopAll()
			return nil, err
		}
	}
	if c.SweepInterval > 0 {
		g.spawn(func() { g.sweep(ctx) })
	}
	return g, nil
}

// first is closed when the gateway knows nodes.
func (g *Gateway) first(followed <-chan struct{}) <-chan struct{} {
	if followed != nil {
		return followed
	}
	return g.roster.Synced()
}

func (g *Gateway) spawn(f func()) {
	g.done.Add(1)
	go func() { defer g.done.Done(); f() }()
}

// sweep looks for orphans, shard after shard.
func (g *Gateway) sweep(ctx context.Context) {
	tick := time.NewTicker(g.Config.SweepInterval)
	defer tick.Stop()
	for shard := 0; ; shard = (shard + 1) % g.Config.Shards {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		switch seen, removed, err := g.Frontend.Sweep(shard, g.Config.SweepMinAge); {
		case err != nil:
			g.log.Warn("sweep broken off", "gateway", g.Config.Name, "shard", shard, "seen", seen, "removed", removed, "why", err)
		case removed > 0:
			g.log.Info("sweep", "gateway", g.Config.Name, "shard", shard, "seen", seen, "removed", removed)
		}
	}
}

// ErrRequestsInFlight tells that requests were still out at the deadline of a stop. They were written off.
var ErrRequestsInFlight = errors.New("requests were still out at the deadline")

// Shutdown takes no new requests, lets what is out end until the context does, writes off the rest and stops.
func (g *Gateway) Shutdown(ctx context.Context) error {
	var held error
	if g.ISCSI != nil {
		g.ISCSI.Drain()
	}
	if err := g.Frontend.Drain(ctx); err != nil {
		held = ErrRequestsInFlight
		g.Loop.Stop() // each job that is left gets its answer now
		last, cancel := context.WithTimeout(context.Background(), time.Second)
		g.Frontend.Drain(last)
		cancel()
	}
	g.closeDisks()
	g.Frontend.Close()
	g.stopAll()
	return held
}

// disks starts the targets.
func (g *Gateway) disks(ctx context.Context) (*target.Server, error) {
	opt := target.Options{Front: g.Frontend, Limits: g.Config.Disks.Limits, Log: g.log}
	for _, c := range g.Config.Disks.Targets {
		t := &target.Target{Name: c.Name, Account: c.Account, Units: map[uint16]*target.Unit{}}
		opt.Targets = append(opt.Targets, t)
		for number, l := range c.LUNs {
			u := &target.Unit{Unit: scsi.Unit{Serial: l.File, Block: l.BlockBytes, Count: l.Size / uint64(l.BlockBytes), Fixed: l.ReadOnly,
				Longest: (4 << 20) / l.BlockBytes, Extent: g.Config.ExtentBytes}}
			t.Units[number] = u
			g.spawn(func() { g.openDisk(ctx, u, fmt.Sprintf("%s, unit %d", c.Name, number), l) })
		}
	}
	return target.Listen(g.Config.Disks.Listen, opt)
}

// openDisk opens a unit's file, as often as it takes: a gateway may start before its nodes do.
func (g *Gateway) openDisk(ctx context.Context, u *target.Unit, name string, l config.LUN) {
	for wait := 100 * time.Millisecond; ; wait = min(2*wait, 5*time.Second) {
		d, err := g.Frontend.Disk(l.File, l.Size)
		if err == nil {
			u.Set(d)
			return
		}
		g.log.Warn("a disk is not ready", "gateway", g.Config.Name, "disk", name, "file", l.File, "why", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// closeDisks ends the targets, and puts on record what was written.
func (g *Gateway) closeDisks() {
	if g.ISCSI == nil {
		return
	}
	if err := g.ISCSI.Close(); err != nil {
		g.log.Warn("what was written to a disk is not on record", "gateway", g.Config.Name, "why", err)
	}
}

// Kill ends the gateway as a crash does: sockets close, and nothing is answered.
func (g *Gateway) Kill() {
	if g.ISCSI != nil {
		g.ISCSI.Break()
	}
	g.Frontend.Close()
	g.stopAll()
}

func (g *Gateway) stopAll() {
	if g.admin != nil {
		g.admin.Close()
	}
	g.cancel()
	g.roster.Close()
	g.Loop.Stop()
	if g.follow != nil {
		g.follow.Close()
	}
	if g.cold != nil {
		g.cold.Close()
	}
	g.nodes.Close()
	g.done.Wait()
	g.captures.end(g)
}

// build names the build, for captures.
func build() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version + " " + info.GoVersion
	}
	return "unknown"
}
