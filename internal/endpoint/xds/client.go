// Package xds brings the list of storage nodes from an xDS management server over an aggregated stream, or from files
// that hold xDS responses: Envoy clusters and endpoints,
// https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol. docs/xds.md has the mapping.
//
// The endpoint manager runs a Client or a FileSource in a goroutine that owns its Session. The Session is the protocol
// and pure, and so are ReadCluster, ReadAssignment and Backoff; the Client brings streams, time and waits. Nothing is
// kept on disk.
package xds

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"irispost/internal/endpoint"
)

// Options are what a Client is made with.
type Options struct {
	Address             string        // host:port of the management server
	Incremental         bool          // use the incremental form of the protocol, else the state of the world
	NodeID              string        // Node.id; unique among all clients of the server
	NodeCluster         string        // Node.cluster
	Zone                string        // Node.locality.zone
	Clusters            []string      // those wanted; empty: all
	InitialFetchTimeout time.Duration // for a first response, and for a cluster's first endpoints
	MinBackoff          time.Duration // between attempts to reach the server
	MaxBackoff          time.Duration
	MaxMessageBytes     int
	Seed                uint64 // of the backoff
	Log                 *slog.Logger
}

// Defaults of what Options leave open.
const (
	DefaultInitialFetchTimeout = 15 * time.Second // as the protocol's initial_fetch_timeout
	DefaultMinBackoff          = 250 * time.Millisecond
	DefaultMaxBackoff          = 15 * time.Second
	DefaultMaxMessageBytes     = 64 << 20
)

// Times of the connection.
const (
	keepaliveTime     = 20 * time.Second // without traffic, until the server is pinged
	keepaliveTimeout  = keepaliveTime / 2
	minConnectTimeout = keepaliveTime / 4
)

// errMessageTooLong tells of a message over MaxMessageBytes.
var errMessageTooLong = errors.New("message exceeds the limit")

// Client is an endpoint.Source: an aggregated stream (ADS) to a management server.
type Client struct{ opt Options }

// NewClient makes a Client.
func NewClient(opt Options) *Client {
	opt.InitialFetchTimeout = orDefault(opt.InitialFetchTimeout, DefaultInitialFetchTimeout)
	opt.MinBackoff = orDefault(opt.MinBackoff, DefaultMinBackoff)
	opt.MaxBackoff = orDefault(opt.MaxBackoff, DefaultMaxBackoff)
	opt.MaxMessageBytes = orDefault(opt.MaxMessageBytes, DefaultMaxMessageBytes)
	return &Client{opt}
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return value
}

// Run implements endpoint.Source: it keeps a stream until the context ends.
func (c *Client) Run(ctx context.Context, to endpoint.Subscriber) error {
	conn, err := c.connect()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // its streams have ended
	// Seeded by the name as well, so that clients that are started alike don't come back alike.
	source := rand.NewPCG(c.opt.Seed, xxhash.Sum64String(c.opt.NodeID))
	waits := &Backoff{Min: c.opt.MinBackoff, Max: c.opt.MaxBackoff, Rand: rand.New(source)}
	s := newStream(&c.opt, to)
	s.session.OpenStream(s.now()) // so that the first response is overdue also where no stream comes up
	for {
		s.connected, s.accepted = false, false
		err := s.run(ctx, conn)
		if ctx.Err() != nil {
			return nil
		}
		if s.accepted {
			waits.Reset()
		}
		if errors.Is(err, errMessageTooLong) {
			to.OnRejected(err)
		}
		to.OnLink(false, err.Error())
		wait := waits.Next()
		c.opt.Log.Info("xds stream lost", "server", c.opt.Address, "retry_in", wait, "err", err)
		conn.ResetConnectBackoff() // our own counts
		if !s.pause(ctx, wait) {
			return nil
		}
	}
}

// connect makes a connection, which is dialled when a stream is opened.
func (c *Client) connect() (*grpc.ClientConn, error) {
	return grpc.NewClient(c.opt.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: minConnectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(c.opt.MaxMessageBytes)),
		grpc.WithDisableServiceConfig())
}
