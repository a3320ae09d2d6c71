package xds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	statusv3 "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"irispost/internal/endpoint"
)

// Options are what a client is started with.
type Options struct {
	Address                string
	Incremental            bool     // the incremental form of the protocol, or the whole one
	NodeID                 string   // Node.id; unique among all clients of the server
	NodeCluster            string   // Node.cluster
	Zone                   string   // Node.locality.zone
	Clusters               []string // that are wanted; empty: all
	InitialFetchTimeout    time.Duration
	MinBackoff, MaxBackoff time.Duration // pauses between tries to reach the server
	MaxMessageBytes        int           // longest message in bytes
	Seed                   uint64
	Log                    *slog.Logger
}

// Defaults of what options leave open.
const (
	DefaultInitialFetchTimeout = 15 * time.Second // as the protocol's initial_fetch_timeout
	DefaultMinBackoff          = 250 * time.Millisecond
	DefaultMaxBackoff          = 15 * time.Second
	DefaultMaxMessageBytes     = 64 << 20
	settled                    = time.Second // a stream that lives so long counts as reached, also when the server has no news
	alive                      = 20 * time.Second
)

// Client is a source of lists: an aggregated stream (ADS) to a management server.
type Client struct{ opt Options }

// NewClient makes a client.
func NewClient(opt Options) *Client {
	set := func(d *time.Duration, otherwise time.Duration) {
		if *d == 0 {
			*d = otherwise
		}
	}
	set(&opt.InitialFetchTimeout, DefaultInitialFetchTimeout)
	set(&opt.MinBackoff, DefaultMinBackoff)
	set(&opt.MaxBackoff, DefaultMaxBackoff)
	if opt.MaxMessageBytes == 0 {
		opt.MaxMessageBytes = DefaultMaxMessageBytes
	}
	return &Client{opt}
}

// Run keeps a stream until the context ends.
func (c *Client) Run(ctx context.Context, to endpoint.Subscriber) error {
	conn, err := grpc.NewClient(c.opt.Address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: alive / 4}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: alive, Timeout: alive / 2}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(c.opt.MaxMessageBytes)), grpc.WithDisableServiceConfig())
	if err != nil {
		return err
	}
	defer conn.Close()
	// Spread by name as well, so that a fleet that is started alike does not knock alike.
	pauses := &Backoff{Min: c.opt.MinBackoff, Max: c.opt.MaxBackoff, Rand: rand.New(rand.NewPCG(c.opt.Seed, xxhash.Sum64String(c.opt.NodeID)))}
	session := NewSession(c.opt.Incremental, c.opt.Clusters, c.opt.InitialFetchTimeout)
	start := time.Now()
	s := &stream{opt: &c.opt, session: session, to: to, now: func() int64 { return start.UnixNano() + int64(time.Since(start)) }}
	session.OpenStream(s.now()) // so that the first answer is late also where no stream comes up
	for {
		s.reached, s.good = false, false
		err := s.run(ctx, conn)
		if ctx.Err() != nil {
			return nil
		}
		if s.good {
			pauses.Reset()
		}
		if errors.Is(err, errFull) {
			to.OnRejected(err)
		}
		to.OnLink(false, err.Error())
		wait := pauses.Next()
		c.opt.Log.Info("the stream is lost", "server", c.opt.Address, "again in", wait, "why", err)
		conn.ResetConnectBackoff() // our own pauses count
		for until := time.Now().Add(wait); ; {
			s.tick()
			left := time.Until(until)
			if left <= 0 {
				break
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(s.sleep(left)):
			}
		}
	}
}

// errFull tells of a message that is longer than may be.
var errFull = errors.New("a message is longer than may be")

// stream is a client's present stream.
type stream struct {
	opt     *Options
	session *Session
	to      endpoint.Subscriber
	now     func() int64
	reached bool // told so
	good    bool // an update was accepted
}

// wire is one of the protocol's two forms.
type wire interface {
	send(*Request, *corev3.Node) error
	receive() (Response, error)
}

func (s *stream) open(ctx context.Context, conn *grpc.ClientConn) (wire, error) {
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	if s.opt.Incremental {
		st, err := client.DeltaAggregatedResources(ctx)
		return incremental{st}, err
	}
	st, err := client.StreamAggregatedResources(ctx)
	return whole{st}, err
}

// run opens a stream and keeps it until it breaks.
func (s *stream) run(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := s.open(ctx, conn)
	if err != nil {
		return err
	}
	node := &corev3.Node{Id: s.opt.NodeID, Cluster: s.opt.NodeCluster, UserAgentName: "irispost"}
	if s.opt.Zone != "" {
		node.Locality = &corev3.Locality{Zone: s.opt.Zone}
	}
	send := func(list []Request) error {
		for _, r := range list {
			if err := w.send(&r, node); err != nil {
				return err
			}
			node = nil // the first request of a stream is enough
		}
		return nil
	}
	if err := send(s.session.OpenStream(s.now())); err != nil {
		return err
	}
	updates, broken := make(chan Response), make(chan error, 1)
	go func() {
		for {
			u, err := w.receive()
			if err != nil {
				broken <- err
				return
			}
			select {
			case updates <- u:
			case <-ctx.Done():
				return
			}
		}
	}()
	opened := time.Now()
	for {
		wait := s.sleep(time.Hour)
		if !s.reached {
			wait = min(wait, max(settled-time.Since(opened), 0))
		}
		timer := time.NewTimer(wait)
		var out Outcome
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case err := <-broken:
			timer.Stop()
			if status.Code(err) == codes.ResourceExhausted {
				return fmt.Errorf("%w: %v", errFull, err)
			}
			return err
		case u := <-updates:
			s.up()
			out = s.session.HandleResponse(s.now(), u)
			s.good = s.good || out.Rejected == nil
		case <-timer.C:
			if time.Since(opened) >= settled {
				s.up()
			}
			out = s.session.Tick(s.now())
		}
		timer.Stop()
		s.tell(out)
		if err := send(out.Requests); err != nil {
			return err
		}
	}
}

func (s *stream) up() {
	if !s.reached {
		s.reached = true
		s.to.OnLink(true, "")
	}
}

// tick lets time pass while there is no stream. What follows waits for the next one.
func (s *stream) tick() { s.tell(s.session.Tick(s.now())) }

func (s *stream) tell(out Outcome) {
	for _, n := range out.Notes {
		s.opt.Log.Info("xds: "+n, "server", s.opt.Address)
	}
	if out.Rejected != nil {
		s.to.OnRejected(out.Rejected)
	}
	if out.List != nil {
		s.to.OnUpdate(*out.List)
	}
}

// sleep is how long nothing is due, at most so long.
func (s *stream) sleep(most time.Duration) time.Duration {
	if at := s.session.NextDeadline(); at > 0 {
		return min(most, max(time.Duration(at-s.now()), 0)+time.Microsecond)
	}
	return most
}

// refusal is a NACK's detail (google.rpc.Status).
func refusal(text string) *statusv3.Status {
	if text == "" {
		return nil
	}
	if len(text) > 4096 {
		text = text[:4096]
	}
	return &statusv3.Status{Code: int32(codes.InvalidArgument), Message: text}
}

// whole is the state-of-the-world form.
type whole struct {
	s grpc.BidiStreamingClient[discoveryv3.DiscoveryRequest, discoveryv3.DiscoveryResponse]
}

func (w whole) send(r *Request, node *corev3.Node) error {
	return w.s.Send(&discoveryv3.DiscoveryRequest{VersionInfo: r.Version, Node: node, ResourceNames: r.ResourceNames, TypeUrl: r.Type,
		ResponseNonce: r.Nonce, ErrorDetail: refusal(r.RejectReason)})
}

func (w whole) receive() (Response, error) {
	m, err := w.s.Recv()
	if err != nil {
		return Response{}, err
	}
	return Response{Type: m.GetTypeUrl(), Version: m.GetVersionInfo(), Nonce: m.GetNonce(), Resources: m.GetResources()}, nil
}

// incremental is the form that tells of changes.
type incremental struct {
	s grpc.BidiStreamingClient[discoveryv3.DeltaDiscoveryRequest, discoveryv3.DeltaDiscoveryResponse]
}

func (w incremental) send(r *Request, node *corev3.Node) error {
	known := map[string]string{} // without versions, so that each is sent anew or told as removed
	for _, name := range r.KnownNames {
		known[name] = ""
	}
	return w.s.Send(&discoveryv3.DeltaDiscoveryRequest{Node: node, TypeUrl: r.Type, ResourceNamesSubscribe: r.Subscribe,
		ResourceNamesUnsubscribe: r.Unsubscribe, InitialResourceVersions: known, ResponseNonce: r.Nonce, ErrorDetail: refusal(r.RejectReason)})
}

func (w incremental) receive() (Response, error) {
	m, err := w.s.Recv()
	if err != nil {
		return Response{}, err
	}
	return Response{Type: m.GetTypeUrl(), Version: m.GetSystemVersionInfo(), Nonce: m.GetNonce(), Changed: m.GetResources(),
		Removed: m.GetRemovedResources()}, nil
}
