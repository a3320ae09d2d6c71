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

// Shares of the platform's limits on sockets and memory. Well-behaved clients open at most a third of the sockets;
// others may open more. Sockets outside the shares are for the listener, discovery, the runtime and connections that
// are being closed.
const (
	clientSocketShare   = 0.42 // lingering connections get one eighth of this share in addition
	evictionSocketShare = 0.2
	nodeSocketShare     = 0.45
	bodyMemoryShare     = 1.0 / 8
	longBodyMemoryShare = 1.0 / 8 // for all responses over the normal size limit together
	longBodyDivisor     = 64      // a single such response may take 1/64 of the memory
)

// Timeouts and sizes of an HTTP gateway that the platform does not set.
const (
	requestHost         = "origin.svc" // Host header of requests to storage nodes
	loopQueueLength     = 1024
	reuseDelay          = 10 * time.Millisecond
	discoveryTimeout    = time.Second
	requestTimeout      = 2500 * time.Millisecond
	clientIdleTimeout   = 20 * time.Second
	evictionIdleTimeout = 500 * time.Millisecond
	clientWriteTimeout  = 5 * time.Second
	nodeIdleNumerator   = 4 // idle connections are closed after 4/5 of the nodes' own idle timeout
	nodeIdleDenominator = 5
)

// Times within the grace period that the platform allows for a shutdown.
const (
	acceptAfterSignal   = 500 * time.Millisecond // new connections still arrive for this long after the signal
	lastRequestMargin   = 400 * time.Millisecond // requests are accepted until this long before the end
	failRemainingMargin = 150 * time.Millisecond // remaining requests fail this long before the end
)

// WebGateway is a running gateway that serves HTTP/1.1 and is run by the platform.
type WebGateway struct {
	Config   *platform.Config
	Loop     *gateway.Loop
	Frontend *web.Server
	Nodes    *webnode.Client

	discovery *discovery.Client
	cancel    context.CancelFunc // ends the discovery client
	logger    *slog.Logger
}

// StartWebGateway starts a gateway with the configuration that the platform provides.
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
		ResponseLimits: http1.DefaultLimits,
		MaxLongBody:    conf.MemoryBytes / longBodyDivisor,
		LongBodyBudget: int64(longBodyMemoryShare * float64(conf.MemoryBytes)),
	}
}

func clientLimits(conf *platform.Config) web.Limits {
	return web.Limits{
		MaxConnections:      int(clientSocketShare * float64(conf.MaxSockets)),
		EvictionThreshold:   int(evictionSocketShare * float64(conf.MaxSockets)),
		MaxBodyBytes:        int64(bodyMemoryShare * float64(conf.MemoryBytes)),
		FirstRequestTimeout: requestTimeout,
		RequestTimeout:      requestTimeout,
		IdleTimeout:         clientIdleTimeout,
		EvictionIdleTimeout: evictionIdleTimeout,
		WriteTimeout:        clientWriteTimeout,
		Message:             http1.DefaultLimits,
	}
}

// Reload applies the only setting that can change while a gateway runs: the address of discovery.
func (g *WebGateway) Reload(conf *platform.Config) {
	g.logger.Info("configuration reloaded", "gateway", g.Config.Name, "discovery", conf.Discovery)
	g.discovery.SetAddress(conf.Discovery)
}

// Shutdown stops the gateway gracefully within the grace period that the platform allows.
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
