// Package xds provides the list of storage nodes from an xDS management server, over an aggregated stream (ADS), or
// from files that hold xDS responses. It reads Envoy clusters and endpoints; docs/xds.md describes how they map to
// nodes. The protocol is described at https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol.
//
// The endpoint manager runs a Client or a FileSource in a goroutine that owns its Session. The Session implements the
// protocol without I/O or a clock, and so do ReadCluster, ReadAssignment and Backoff; the Client adds the streams,
// the clock and the waits. Nothing is stored on disk.
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

// Options configures a Client.
type Options struct {
	Address             string        // host:port of the management server
	Incremental         bool          // use the incremental (delta) variant of the protocol, not state-of-the-world
	NodeID              string        // Node.id; unique among all clients of the server
	NodeCluster         string        // Node.cluster
	Zone                string        // Node.locality.zone
	Clusters            []string      // names of the clusters to subscribe to; empty: all
	InitialFetchTimeout time.Duration // for the first response of a stream and for a cluster's first endpoints
	MinBackoff          time.Duration // between attempts to reach the server
	MaxBackoff          time.Duration
	MaxMessageBytes     int
	Seed                uint64 // of the backoff's random numbers
	Log                 *slog.Logger
}

// Defaults for Options that are zero.
const (
	DefaultInitialFetchTimeout = 15 * time.Second // the default of the protocol's initial_fetch_timeout
	DefaultMinBackoff          = 250 * time.Millisecond
	DefaultMaxBackoff          = 15 * time.Second
	DefaultMaxMessageBytes     = 64 << 20
)

// Timeouts of the connection.
const (
	keepaliveTime     = 20 * time.Second // time without traffic after which the server is pinged
	keepaliveTimeout  = keepaliveTime / 2
	minConnectTimeout = keepaliveTime / 4
)

// errMessageTooLong is returned for a message longer than MaxMessageBytes.
var errMessageTooLong = errors.New("message exceeds the limit")

// Client is an endpoint.Source that reads from a management server over an aggregated stream (ADS).
type Client struct{ opt Options }

// NewClient returns a Client.
func NewClient(opt Options) *Client {
	opt.InitialFetchTimeout = orDefault(opt.InitialFetchTimeout, DefaultInitialFetchTimeout)
	opt.MinBackoff = orDefault(opt.MinBackoff, DefaultMinBackoff)
	opt.MaxBackoff = orDefault(opt.MaxBackoff, DefaultMaxBackoff)
	opt.MaxMessageBytes = orDefault(opt.MaxMessageBytes, DefaultMaxMessageBytes)
	return &Client{opt}
}

// orDefault returns the value, or the fallback if it is zero.
func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Run implements endpoint.Source. It keeps a stream open, and reopens it after a failure, until the context ends.
func (c *Client) Run(ctx context.Context, to endpoint.Subscriber) error {
	conn, err := c.connect()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // its streams have already ended
	// The node's id is part of the seed, so that clients with the same Seed do not reconnect at the same times.
	source := rand.NewPCG(c.opt.Seed, xxhash.Sum64String(c.opt.NodeID))
	reconnectBackoff := &Backoff{Min: c.opt.MinBackoff, Max: c.opt.MaxBackoff, Rand: rand.New(source)}
	s := newStream(&c.opt, to)
	s.session.OpenStream(s.now()) // starts the fetch timeout even if no stream can be opened
	for {
		s.connected, s.accepted = false, false
		err := s.run(ctx, conn)
		if ctx.Err() != nil {
			return nil
		}
		if s.accepted {
			reconnectBackoff.Reset()
		}
		if errors.Is(err, errMessageTooLong) {
			to.OnRejected(err)
		}
		to.OnLink(false, err.Error())
		wait := reconnectBackoff.Next()
		c.opt.Log.Info("xds stream lost", "server", c.opt.Address, "retry_in", wait, "err", err)
		conn.ResetConnectBackoff() // only our own backoff applies
		if !s.pause(ctx, wait) {
			return nil
		}
	}
}

// connect creates a connection, which is dialled when the first stream is opened.
func (c *Client) connect() (*grpc.ClientConn, error) {
	return grpc.NewClient(c.opt.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: minConnectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(c.opt.MaxMessageBytes)),
		grpc.WithDisableServiceConfig())
}
