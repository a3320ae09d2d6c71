package xds

import (
	"context"
	"fmt"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"irispost/internal/endpoint"
)

const (
	// connectedAfter is the time after which an open stream without a response counts as connected. In the incremental
	// variant, a server that has no changes sends nothing.
	connectedAfter = time.Second
	// maxWait limits a wait while no deadline is pending.
	maxWait = time.Hour
	// userAgent is Node.user_agent_name.
	userAgent = "irispost"
)

// stream is the current stream of a Client, with the session that outlives it.
type stream struct {
	opt       *Options
	session   *Session
	to        endpoint.Subscriber
	now       func() int64 // monotonic, in Unix nanoseconds
	connected bool         // the stream was reported as connected
	accepted  bool         // a response was accepted on the stream
}

func newStream(opt *Options, to endpoint.Subscriber) *stream {
	return &stream{
		opt:     opt,
		session: NewSession(opt.Incremental, opt.Clusters, opt.InitialFetchTimeout),
		to:      to,
		now:     monotonicClock(),
	}
}

// monotonicClock returns a clock of Unix nanoseconds that never goes back.
func monotonicClock() func() int64 {
	start := time.Now()
	return func() int64 { return start.UnixNano() + int64(time.Since(start)) }
}

// run opens a stream and processes its events until it fails or the context ends.
func (s *stream) run(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t, err := openTransport(ctx, conn, s.opt.Incremental)
	if err != nil {
		return err
	}
	requests := &sender{transport: t, node: s.opt.node()}
	if err := requests.send(s.session.OpenStream(s.now())); err != nil {
		return err
	}
	in := receive(ctx, t)
	for {
		out, err := s.next(ctx, in)
		if err != nil {
			return err
		}
		s.report(out)
		if err := requests.send(out.Requests); err != nil {
			return err
		}
	}
}

// node returns the message by which the client identifies itself to the server.
func (o *Options) node() *corev3.Node {
	node := &corev3.Node{Id: o.NodeID, Cluster: o.NodeCluster, UserAgentName: userAgent}
	if o.Zone != "" {
		node.Locality = &corev3.Locality{Zone: o.Zone}
	}
	return node
}

// sender sends the requests of a stream.
type sender struct {
	transport transport
	node      *corev3.Node // sent with the first request of the stream; nil after that
}

func (s *sender) send(requests []Request) error {
	for i := range requests {
		if err := s.transport.send(&requests[i], s.node); err != nil {
			return err
		}
		s.node = nil
	}
	return nil
}

// incoming holds the channels on which a stream's responses and its final error arrive.
type incoming struct {
	responses <-chan Response
	failed    <-chan error // receives one error when the stream fails
	opened    time.Time    // when the stream was opened
}

// receive reads a stream's responses in a goroutine that ends with the context or when the stream fails.
func receive(ctx context.Context, t transport) *incoming {
	responses, broken := make(chan Response), make(chan error, 1)
	go func() {
		for {
			response, err := t.receive()
			if err != nil {
				broken <- err
				return
			}
			select {
			case responses <- response:
			case <-ctx.Done():
				return
			}
		}
	}()
	return &incoming{responses, broken, time.Now()}
}

// next waits for the next event of a stream, which is a response, a failure or a timeout, and returns its outcome.
func (s *stream) next(ctx context.Context, in *incoming) (Outcome, error) {
	wait := s.untilDue(maxWait)
	if !s.connected {
		wait = min(wait, max(connectedAfter-time.Since(in.opened), 0))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return Outcome{}, ctx.Err()
	case err := <-in.failed:
		if status.Code(err) == codes.ResourceExhausted {
			return Outcome{}, fmt.Errorf("%w: %w", errMessageTooLong, err)
		}
		return Outcome{}, err
	case response := <-in.responses:
		s.setConnected()
		out := s.session.HandleResponse(s.now(), response)
		s.accepted = s.accepted || out.Rejected == nil
		return out, nil
	case <-timer.C:
		if time.Since(in.opened) >= connectedAfter {
			s.setConnected()
		}
		return s.session.Tick(s.now()), nil
	}
}

// setConnected reports, once per stream, that it is connected.
func (s *stream) setConnected() {
	if !s.connected {
		s.connected = true
		s.to.OnLink(true, "")
	}
}

// pause waits between two streams and handles the session's timeouts meanwhile. Requests that result from these are
// dropped, as the next stream starts with its own. It returns false if the context ended.
func (s *stream) pause(ctx context.Context, wait time.Duration) bool {
	end := time.Now().Add(wait)
	for {
		s.report(s.session.Tick(s.now()))
		left := time.Until(end)
		if left <= 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(s.untilDue(left)):
		}
	}
}

// report logs the notes of an outcome and passes its rejection and list to the subscriber.
func (s *stream) report(out Outcome) {
	for _, note := range out.Notes {
		s.opt.Log.Info("xds note", "server", s.opt.Address, "note", note)
	}
	if out.Rejected != nil {
		s.to.OnRejected(out.Rejected)
	}
	if out.List != nil {
		s.to.OnUpdate(*out.List)
	}
}

// untilDue returns the time until the session's next deadline, or the limit if that is shorter.
func (s *stream) untilDue(limit time.Duration) time.Duration {
	return untilDue(s.session, s.now(), limit)
}

// untilDue returns the time from now until a session's next deadline, or the limit if that is shorter.
func untilDue(session *Session, now int64, limit time.Duration) time.Duration {
	at := session.NextDeadline()
	if at <= 0 {
		return limit
	}
	return min(limit, max(time.Duration(at-now), 0)+time.Microsecond)
}
