// Package serve builds a running gateway from its configuration and takes it down again. It wires the packages of a
// gateway together (endpoint sources, connections to storage nodes, the loop that owns the scheduler, the front ends,
// the admin socket) and starts them in the order in which each needs the next.
//
// The commands call it, and tests do. Gateway serves SFTP and iSCSI; WebGateway serves HTTP/1.1 as the platform runs
// it. The package owns no state of its own but the capture that is being written, decides nothing, and does I/O only
// through the parts it starts.
package serve

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"irispost/internal/admin"
	"irispost/internal/backend/node"
	"irispost/internal/config"
	"irispost/internal/endpoint/manager"
	"irispost/internal/fleet/client"
	"irispost/internal/fleet/slowstart/agent"
	"irispost/internal/front"
	"irispost/internal/gateway"
	"irispost/internal/iscsi/target"
	"irispost/internal/sftp"
)

// minNodePacketBytes is the least packet size accepted from a storage node, whose listings may be longer than what a
// client may send.
const minNodePacketBytes = 4 << 20

// Gateway is a running gateway that serves files over SFTP and, if configured, disks over iSCSI.
type Gateway struct {
	Config   *config.Config
	Loop     *gateway.Loop
	Frontend *front.Front
	ISCSI    *target.Server // nil without configured targets

	startedAt   time.Time
	admin       *admin.Server // nil without an admin socket
	capture     captureSession
	endpoints   *manager.Manager
	slowStart   *agent.Agent   // nil when no other gateway can reach this one
	fleetClient *client.Client // nil when the configuration comes from a file alone
	nodes       *node.Client
	logger      *slog.Logger
	cancel      context.CancelFunc // ends the goroutines counted by background
	background  sync.WaitGroup     // goroutines that this package started
}

// Start starts a gateway. Relative file names in the configuration are resolved against baseDir.
func Start(conf *config.Config, baseDir string, logger *slog.Logger) (*Gateway, error) {
	sources := endpointSources(conf, baseDir, logger)
	if conf.EndpointCacheDir != "" {
		conf.EndpointCacheDir = resolvePath(baseDir, conf.EndpointCacheDir)
	}
	return StartWithSources(conf, sources, logger)
}

// StartWithSources starts a gateway with the given endpoint sources in place of the configured ones.
func StartWithSources(conf *config.Config, sources []manager.NamedSource, logger *slog.Logger) (*Gateway, error) {
	g := newGateway(conf, logger)
	var tap gateway.Tap
	if conf.CaptureDir != "" && conf.CaptureAtStart {
		if err := g.capture.start(g, ""); err != nil {
			return nil, err
		}
		tap = g.capture.recorder
	}
	versionInForce, err := g.startLoop(tap)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.startEndpoints(sources)
	g.awaitEndpoints(versionInForce)
	if err := g.listen(ctx); err != nil {
		g.stopAll()
		return nil, err
	}
	if conf.SweepInterval > 0 {
		g.spawn(func() { g.sweepOrphans(ctx) })
	}
	return g, nil
}

func newGateway(conf *config.Config, logger *slog.Logger) *Gateway {
	limits := sftp.DefaultLimits
	limits.MaxPacket = max(2*conf.Limits.Wire.MaxPacket, minNodePacketBytes)
	return &Gateway{
		Config:    conf,
		logger:    logger,
		startedAt: time.Now(),
		nodes:     node.NewClient(conf.ConnectTimeout, conf.ConnectionsPerNode, limits, logger),
	}
}

// startLoop starts the loop, which owns the scheduler. The channel is closed once a configuration version is in force;
// it is nil for a gateway that has its configuration from a file alone.
func (g *Gateway) startLoop(tap gateway.Tap) (versionInForce <-chan struct{}, err error) {
	opt := gateway.Options{
		Name:      g.Config.Name,
		Seed:      g.Config.Seed,
		Settings:  g.Config.Settings,
		QueueSize: g.Config.EventQueueLength,
		Clock:     gateway.NewClock(),
		Nodes:     g.nodes,
		Log:       g.logger,
		Tap:       tap,
	}
	if g.Config.Follow != nil {
		return g.startFleetLoop(&opt)
	}
	g.Loop = gateway.Start(opt)
	return nil, nil
}

// startEndpoints starts what keeps the endpoint list up to date and hands it to the loop.
func (g *Gateway) startEndpoints(sources []manager.NamedSource) {
	g.endpoints = manager.Start(manager.Options{
		Gateway:  g.Config.Name,
		Settings: g.Config.Membership,
		Sources:  sources,
		Dir:      g.Config.EndpointCacheDir,
		Now:      g.Loop.Now,
		OnChange: g.Loop.UpdateEndpoints,
		Log:      g.logger,
	})
}

// awaitEndpoints waits until the gateway knows its storage nodes, but not for longer than configured, so that the first
// client is not rejected for lack of them.
func (g *Gateway) awaitEndpoints(versionInForce <-chan struct{}) {
	known := versionInForce
	if known == nil {
		known = g.endpoints.Synced()
	}
	timeout := g.Config.FirstListTimeout
	select {
	case <-known:
	case <-time.After(timeout):
		g.logger.Warn("endpoint sources not synced in time, serving with the endpoints known",
			"gateway", g.Config.Name, "timeout", timeout)
	}
}

// listen opens the sockets that clients and operators connect to. On an error those opened before are closed again.
func (g *Gateway) listen(ctx context.Context) (err error) {
	g.Frontend, err = front.Start(g.Config.Listen, front.Options{
		Name:    g.Config.Name,
		Loop:    g.Loop,
		Volumes: g.Config.Volumes,
		Shards:  g.Config.Shards,
		Extent:  g.Config.ExtentBytes,
		Units:   g.Config.Units,
		Limits:  g.Config.Limits,
		Log:     g.logger,
	})
	if err != nil {
		return err
	}
	if g.Config.Disks != nil {
		if g.ISCSI, err = g.startISCSI(ctx); err != nil {
			g.Frontend.Close()
			return err
		}
	}
	if g.Config.AdminSocket != "" {
		if g.admin, err = admin.Listen(g.Config.AdminSocket, g); err != nil {
			g.closeISCSI()
			g.Frontend.Close()
			return err
		}
	}
	return nil
}

// spawn runs a function on a goroutine that stopAll waits for.
func (g *Gateway) spawn(run func()) {
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		run()
	}()
}
