package serve

import (
	"context"
	"log/slog"
	"time"

	"irispost/internal/backend/webnode"
	"irispost/internal/endpoint/discovery"
	"irispost/internal/frontend/web"
	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/internal/platform"
)

// WebGateway is a running gateway behind HTTP.
type WebGateway struct {
	Config   *platform.Config
	Loop     *gateway.Loop
	Frontend *web.Server
	Nodes    *webnode.Client
	list     *discovery.Client
	cancel   context.CancelFunc
	log      *slog.Logger
}

// Shares of the platform's limits. Clients hold at most a third of the sockets for their requests; others hold more.
const (
	frontSockets = 0.42 // and an eighth of it for those that linger
	frontCrowd   = 0.2
	nodeSockets  = 0.45 // the rest is for the listener, the list, the runtime and what is just closing
	bodyMemory   = 1.0 / 8
	longMemory   = 1.0 / 8 // for answers over the bound
)

// StartWebGateway starts a gateway as the platform tells.
func StartWebGateway(c *platform.Config, log *slog.Logger) (*WebGateway, error) {
	g := &WebGateway{Config: c, log: log}
	g.Nodes = webnode.NewClient(webnode.Options{Host: "origin.svc", ConnectTimeout: c.DialTimeout, IdleTimeout: c.IdleTimeout * 4 / 5, ReuseDelay: 10 * time.Millisecond,
		MaxConnections: int(nodeSockets * float64(c.MaxSockets)), Bounds: http1.DefaultLimits, MaxLongBody: c.MemoryBytes / 64,
		LongBodyBudget: int64(longMemory * float64(c.MemoryBytes))})
	list, known, err := discovery.New(discovery.Options{Gateway: c.Name, Address: c.Discovery, Cached: c.CachedEndpoints, LongPoll: c.LongPoll(),
		Timeout: time.Second, Log: log})
	if err != nil {
		g.Nodes.Close()
		return nil, err
	}
	g.list = list
	g.Loop = gateway.Start(gateway.Options{Name: c.Name, Seed: c.Seed, Settings: c.Settings, QueueSize: 1024, Clock: gateway.NewClock(),
		Nodes: g.Nodes, CachedList: known, Watch: list.Watch, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go list.Run(ctx, g.Loop.UpdateEndpoints, g.Loop.EndpointListFailed)
	g.Frontend, err = web.Start(c.Listen, web.Options{GatewayName: c.Name, Loop: g.Loop, Settings: c.Settings, Logger: log, Limits: web.Limits{
		MaxConnections: int(frontSockets * float64(c.MaxSockets)), CrowdedConnections: int(frontCrowd * float64(c.MaxSockets)), MaxBodyBytes: int64(bodyMemory * float64(c.MemoryBytes)),
		FirstRequestTimeout: 2500 * time.Millisecond, RequestTimeout: 2500 * time.Millisecond, IdleTimeout: 20 * time.Second, CrowdedIdleTimeout: 500 * time.Millisecond,
		WriteTimeout: 5 * time.Second, Message: http1.DefaultLimits}})
	if err != nil {
		g.cancel()
		g.Loop.Stop()
		g.Nodes.Close()
		return nil, err
	}
	return g, nil
}

// Reload takes over what can change while a gateway runs: where the list is asked.
func (g *WebGateway) Reload(c *platform.Config) {
	g.log.Info("the configuration is read anew", "gateway", g.Config.Name, "discovery", c.Discovery)
	g.list.SetAddress(c.Discovery)
}

// Parts of the time that the platform leaves a gateway that it ends.
const (
	takenStill = 500 * time.Millisecond // connections still come
	lastWork   = 400 * time.Millisecond // before the end, no request is begun
	lastWord   = 150 * time.Millisecond // before the end, what is left is written off
)

// Shutdown ends the gateway within the time that the platform leaves it.
func (g *WebGateway) Shutdown() {
	grace := g.Config.ShutdownGrace()
	ctx, cancel := context.WithTimeout(context.Background(), grace-lastWord)
	defer cancel()
	g.Frontend.Shutdown(ctx, takenStill, grace-lastWork)
	g.cancel()
	g.Loop.Stop()
	g.Nodes.Close()
}
