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

// Shares of the platform's limits on sockets and memory. Well-behaved clients open at most a third of the sockets,
// others may open more. The sockets in no share are for the listener, the endpoint list, the runtime and connections
// that are just closing.
const (
	clientSocketShare   = 0.42 // an eighth of it again is for lingering connections
	crowdedSocketShare  = 0.2
	nodeSocketShare     = 0.45
	bodyMemoryShare     = 1.0 / 8
	longBodyMemoryShare = 1.0 / 8 // answers over the usual limit, all together
	longBodyDivisor     = 64      // one such answer may have this part of the memory
)

// Timeouts and sizes of a gateway behind HTTP that the platform does not set.
const (
	requestHost         = "origin.svc" // the Host field of requests to storage nodes
	loopQueueLength     = 1024
	reuseDelay          = 10 * time.Millisecond
	discoveryTimeout    = time.Second
	requestTimeout      = 2500 * time.Millisecond
	clientIdleTimeout   = 20 * time.Second
	crowdedIdleTimeout  = 500 * time.Millisecond
	clientWriteTimeout  = 5 * time.Second
	nodeIdleNumerator   = 4 // an idle connection is closed after 4/5 of the time after which nodes close it
	nodeIdleDenominator = 5
)

// Parts of the time that the platform allows for a shutdown.
const (
	acceptAfterSignal   = 500 * time.Millisecond // new connections still arrive for so long
	lastRequestMargin   = 400 * time.Millisecond // no request is taken so shortly before the end
	failRemainingMargin = 150 * time.Millisecond // what is left fails so shortly before the end
)

// WebGateway is a running gateway that serves HTTP/1.1 under the platform.
type WebGateway struct {
	Config   *platform.Config
	Loop     *gateway.Loop
	Frontend *web.Server
	Nodes    *webnode.Client

	discovery *discovery.Client
	cancel    context.CancelFunc // ends the discovery client
	logger    *slog.Logger
}

// StartWebGateway starts a gateway as the platform configures it.
func StartWebGateway(conf *platform.Config, logger *slog.Logger) (*WebGateway, error) {
	g := &WebGateway{Config: conf, logger: logger}
	g.Nodes = webnode.NewClient(nodeClientOptions(conf))
	discoveryClient, cachedEndpoints, err := discovery.New(discovery.Options{
		Gateway:  conf.Name,
		Address:  conf.Discovery,
		Cached:   conf.CachedEndpoints,
		LongPoll: conf.LongPoll(),
		Timeout:  discoveryTimeout,
		Log:      logger,
	})
	if err != nil {
		g.Nodes.Close()
		return nil, err
	}
	g.discovery = discoveryClient
	g.Loop = gateway.Start(gateway.Options{
		Name:       conf.Name,
		Seed:       conf.Seed,
		Settings:   conf.Settings,
		QueueSize:  loopQueueLength,
		Clock:      gateway.NewClock(),
		Nodes:      g.Nodes,
		CachedList: cachedEndpoints,
		Watch:      discoveryClient.Watch,
		Log:        logger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go discoveryClient.Run(ctx, g.Loop.UpdateEndpoints, g.Loop.EndpointListFailed)
	g.Frontend, err = web.Start(conf.Listen, web.Options{
		GatewayName: conf.Name,
		Loop:        g.Loop,
		Settings:    conf.Settings,
		Logger:      logger,
		Limits:      clientLimits(conf),
	})
	if err != nil {
		g.stopBehindFrontend()
		return nil, err
	}
	return g, nil
}

func nodeClientOptions(conf *platform.Config) webnode.Options {
	return webnode.Options{
		Host:           requestHost,
		ConnectTimeout: conf.DialTimeout,
		IdleTimeout:    conf.IdleTimeout * nodeIdleNumerator / nodeIdleDenominator,
		ReuseDelay:     reuseDelay,
		MaxConnections: int(nodeSocketShare * float64(conf.MaxSockets)),
		Bounds:         http1.DefaultLimits,
		MaxLongBody:    conf.MemoryBytes / longBodyDivisor,
		LongBodyBudget: int64(longBodyMemoryShare * float64(conf.MemoryBytes)),
	}
}

func clientLimits(conf *platform.Config) web.Limits {
	return web.Limits{
		MaxConnections:      int(clientSocketShare * float64(conf.MaxSockets)),
		EvictionThreshold:   int(crowdedSocketShare * float64(conf.MaxSockets)),
		MaxBodyBytes:        int64(bodyMemoryShare * float64(conf.MemoryBytes)),
		FirstRequestTimeout: requestTimeout,
		RequestTimeout:      requestTimeout,
		IdleTimeout:         clientIdleTimeout,
		EvictionIdleTimeout: crowdedIdleTimeout,
		WriteTimeout:        clientWriteTimeout,
		Message:             http1.DefaultLimits,
	}
}

// Reload applies what can change while a gateway runs: the address of discovery.
func (g *WebGateway) Reload(conf *platform.Config) {
	g.logger.Info("configuration reloaded", "gateway", g.Config.Name, "discovery", conf.Discovery)
	g.discovery.SetAddress(conf.Discovery)
}

// Shutdown ends the gateway gracefully within the time that the platform allows.
func (g *WebGateway) Shutdown() {
	grace := g.Config.ShutdownGrace()
	ctx, cancel := context.WithTimeout(context.Background(), grace-failRemainingMargin)
	defer cancel()
	g.Frontend.Shutdown(ctx, acceptAfterSignal, grace-lastRequestMargin)
	g.stopBehindFrontend()
}

func (g *WebGateway) stopBehindFrontend() {
	g.cancel()
	g.Loop.Stop()
	g.Nodes.Close()
}
