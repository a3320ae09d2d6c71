// Package serve starts a gateway from its configuration and stops it. It connects the components of a gateway
// (endpoint sources, connections to storage nodes, the loop that owns the scheduler, the front ends, the admin socket)
// and starts them in the order of their dependencies.
//
// Commands and tests call it. Gateway serves SFTP and iSCSI. WebGateway serves HTTP/1.1 when the platform runs the
// gateway. The package makes no scheduling decisions, its only state is the active capture, and all I/O is done by the
// components that it starts.
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

// minNodePacketBytes is a lower bound for the maximum size of packets from storage nodes. Their listings may be longer
// than any packet that a client may send.
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
	slowStart   *agent.Agent   // nil if other gateways cannot reach this one
	fleetClient *client.Client // nil if the configuration comes from a file only
	nodes       *node.Client
	logger      *slog.Logger
	cancel      context.CancelFunc // ends the goroutines counted by background
	background  sync.WaitGroup     // goroutines that this package started
}

// Start starts a gateway. Relative paths in the configuration are resolved against baseDir.
func Start(conf *config.Config, baseDir string, logger *slog.Logger) (*Gateway, error) {
	sources := endpointSources(conf, baseDir, logger)
	if conf.EndpointCacheDir != "" {
		conf.EndpointCacheDir = resolvePath(baseDir, conf.EndpointCacheDir)
	}
	return StartWithSources(conf, sources, logger)
}

// StartWithSources starts a gateway with the given endpoint sources instead of the configured ones.
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

// startLoop starts the loop, which owns the scheduler. The returned channel is closed once a configuration version
// is in force. It is nil for a gateway that takes its configuration from a file only.
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

// startEndpoints starts the manager that keeps the endpoint list up to date and passes it to the loop.
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

// awaitEndpoints waits until the gateway knows its storage nodes, or until the configured timeout. Without the wait,
// the first requests would be rejected for lack of endpoints.
func (g *Gateway) awaitEndpoints(versionInForce <-chan struct{}) {
	known := versionInForce
	if known == nil {
		known = g.endpoints.Synced()
	}
	timeout := g.Config.FirstListTimeout
	select {
	case <-known:
	case <-time.After(timeout):
		g.logger.Warn("endpoint sources not synced before the timeout, serving with the known endpoints",
			"gateway", g.Config.Name, "timeout", timeout)
	}
}

// listen opens the sockets for clients and operators. On an error it closes those that it has opened.
func (g *Gateway) listen(ctx context.Context) (err error) {
	g.Frontend, err = front.Start(g.Config.Listen, front.Options{
		Name:       g.Config.Name,
		Loop:       g.Loop,
		Volumes:    g.Config.Volumes,
		Shards:     g.Config.Shards,
		ExtentSize: g.Config.ExtentBytes,
		Units:      g.Config.Units,
		Limits:     g.Config.Limits,
		Log:        g.logger,
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

// spawn runs a function in a goroutine that stopAll waits for.
func (g *Gateway) spawn(run func()) {
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		run()
	}()
}
