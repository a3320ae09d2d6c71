package serve

import (
	"context"
	"log/slog"
	"time"

	"irispost/internal/discovery"
	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/internal/platform"
	"irispost/internal/web"
	"irispost/internal/webnode"
)

// Web is a running gateway behind HTTP.
type Web struct {
	Config *platform.Config
	Loop   *gateway.Loop
	Front  *web.Front
	Nodes  *webnode.Client
	list   *discovery.Client
	cancel context.CancelFunc
	log    *slog.Logger
}

// Shares of the platform's limits. Clients hold at most a third of the sockets for their requests; others hold more.
const (
	frontSockets = 0.42 // and an eighth of it for those that linger
	frontCrowd   = 0.2
	nodeSockets  = 0.45 // the rest is for the listener, the list, the runtime and what is just closing
	bodyMemory   = 1.0 / 8
	longMemory   = 1.0 / 8 // for answers over the bound
)

// StartWeb starts a gateway as the platform tells.
func StartWeb(c *platform.Config, log *slog.Logger) (*Web, error) {
	g := &Web{Config: c, log: log}
	g.Nodes = webnode.NewClient(webnode.Options{Host: "origin.svc", Connect: c.Connect, Idle: c.Idle * 4 / 5, Rest: 10 * time.Millisecond,
		Most: int(nodeSockets * float64(c.Sockets)), Bounds: http1.DefaultBounds, Long: c.Memory / 64,
		LongAll: int64(longMemory * float64(c.Memory))})
	list, known, err := discovery.New(discovery.Options{Gateway: c.Name, Address: c.Discovery, Known: c.Known, Hold: c.Hold(),
		Slack: time.Second, Log: log})
	if err != nil {
		g.Nodes.Close()
		return nil, err
	}
	g.list = list
	g.Loop = gateway.Start(gateway.Options{Name: c.Name, Seed: c.Seed, Terms: c.Terms, Queue: 1024, Clock: gateway.NewClock(),
		Nodes: g.Nodes, Known: known, Watch: list.Watch, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go list.Run(ctx, g.Loop.List, g.Loop.ListFailed)
	g.Front, err = web.Start(c.Listen, web.Options{Name: c.Name, Loop: g.Loop, Terms: c.Terms, Log: log, Limits: web.Limits{
		Connections: int(frontSockets * float64(c.Sockets)), Crowd: int(frontCrowd * float64(c.Sockets)), Bodies: int64(bodyMemory * float64(c.Memory)),
		First: 2500 * time.Millisecond, Request: 2500 * time.Millisecond, Idle: 20 * time.Second, Spare: 500 * time.Millisecond,
		Write: 5 * time.Second, Message: http1.DefaultBounds}})
	if err != nil {
		g.cancel()
		g.Loop.Stop()
		g.Nodes.Close()
		return nil, err
	}
	return g, nil
}

// Reload takes over what can change while a gateway runs: where the list is asked.
func (g *Web) Reload(c *platform.Config) {
	g.log.Info("the configuration is read anew", "gateway", g.Config.Name, "discovery", c.Discovery)
	g.list.Move(c.Discovery)
}

// Parts of the time that the platform leaves a gateway that it ends.
const (
	takenStill = 500 * time.Millisecond // connections still come
	lastWork   = 400 * time.Millisecond // before the end, no request is begun
	lastWord   = 150 * time.Millisecond // before the end, what is left is written off
)

// Stop ends the gateway within the time that the platform leaves it.
func (g *Web) Stop() {
	grace := g.Config.Grace()
	ctx, cancel := context.WithTimeout(context.Background(), grace-lastWord)
	defer cancel()
	g.Front.Stop(ctx, takenStill, grace-lastWork)
	g.cancel()
	g.Loop.Stop()
	g.Nodes.Close()
}
