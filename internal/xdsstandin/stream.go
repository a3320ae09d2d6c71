package xdsstandin

import (
	"maps"
	"slices"
	"strconv"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"

	"irispost/internal/endpoint/xds"
)

// client is a stream.
type client struct {
	node  string
	over  bool   // cut by us
	gone  bool   // ended by the client
	count int    // answers sent
	beat  string // a type that signs of life are due of
	blurt string // a type that goes out without being asked for
	subs  map[string]*sub
}

// sub is what a stream wants of a type.
type sub struct {
	all   bool
	names map[string]bool
	sent  map[string]int // versions by name
	as    int            // whole form: the version that was sent last
	news  bool           // whole form: names were added
	nonce string
}

var errCut = status.Error(codes.Unavailable, "the stand-in cuts the stream")

// open begins a stream.
func (s *Server) open() (*client, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.fault.refuse {
		return nil, status.Error(codes.Unavailable, "the stand-in refuses streams")
	}
	c := &client{subs: map[string]*sub{}}
	s.streams[c] = true
	s.opened++
	return c, nil
}

func (s *Server) close(c *client) {
	s.lock.Lock()
	delete(s.streams, c)
	s.cond.Broadcast()
	s.lock.Unlock()
}

func (c *client) sub(kind string) *sub {
	if c.subs[kind] == nil {
		c.subs[kind] = &sub{names: map[string]bool{}, sent: map[string]int{}}
	}
	return c.subs[kind]
}

// nonce is the next one; the lock is held.
func (s *Server) nonce(c *client) string {
	c.count++
	if s.fault.nonce {
		return "same"
	}
	return strconv.Itoa(c.count)
}

// wants are the names of a type that a stream wants and that there are, in order; the lock is held.
func (s *Server) wants(kind string, b *sub) (names []string) {
	for name := range s.resources[kind] {
		if b.all || b.names[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// StreamAggregatedResources serves the whole form.
func (s *Server) StreamAggregatedResources(st grpc.BidiStreamingServer[discoveryv3.DiscoveryRequest, discoveryv3.DiscoveryResponse]) error {
	return s.serve(func(c *client) error {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		s.hear(c, m.GetNode().GetId(), func() {
			b := c.sub(m.GetTypeUrl())
			if m.GetResponseNonce() != "" {
				s.answers = append(s.answers, Ack{c.node, m.GetTypeUrl(), m.GetVersionInfo(), m.GetResponseNonce(), m.GetErrorDetail().GetMessage()})
			}
			if m.GetResponseNonce() != b.nonce && !s.fault.nonce {
				return // it answers something older than what was sent last
			}
			b.all = m.GetTypeUrl() == xds.ClusterType && len(m.GetResourceNames()) == 0
			before := b.names
			b.names = map[string]bool{}
			for _, name := range m.GetResourceNames() {
				b.names[name] = true
				b.news = b.news || !before[name]
			}
			if m.GetResponseNonce() == "" { // the stream's first: what the client has counts if it is the same
				b.news = m.GetVersionInfo() != strconv.Itoa(s.versions[m.GetTypeUrl()])
				b.as = s.versions[m.GetTypeUrl()]
			}
		})
		return nil
	}, func(c *client, kind string, b *sub) func() error {
		if b.as == s.versions[kind] && !b.news && c.beat != kind || !b.all && len(b.names) == 0 {
			return nil
		}
		m := &discoveryv3.DiscoveryResponse{VersionInfo: strconv.Itoa(s.versions[kind]), TypeUrl: kind, Nonce: s.nonce(c)}
		b.as, b.news, b.nonce = s.versions[kind], false, m.Nonce
		for _, name := range s.wants(kind, b) {
			e := s.resources[kind][name]
			switch {
			case c.beat == kind:
				m.Resources = append(m.Resources, pack(&discoveryv3.Resource{Name: name, Ttl: durationOf(e.ttl)}))
			case e.ttl > 0:
				m.Resources = append(m.Resources, pack(&discoveryv3.Resource{Name: name, Resource: e.body, Ttl: durationOf(e.ttl)}))
			default:
				m.Resources = append(m.Resources, e.body)
			}
		}
		return func() error { return st.Send(m) }
	})
}

// DeltaAggregatedResources serves the incremental form.
func (s *Server) DeltaAggregatedResources(st grpc.BidiStreamingServer[discoveryv3.DeltaDiscoveryRequest, discoveryv3.DeltaDiscoveryResponse]) error {
	return s.serve(func(c *client) error {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		s.hear(c, m.GetNode().GetId(), func() {
			first := c.subs[m.GetTypeUrl()] == nil
			b := c.sub(m.GetTypeUrl())
			if m.GetResponseNonce() != "" {
				s.answers = append(s.answers, Ack{c.node, m.GetTypeUrl(), "", m.GetResponseNonce(), m.GetErrorDetail().GetMessage()})
			}
			if first {
				b.all = m.GetTypeUrl() == xds.ClusterType && len(m.GetResourceNamesSubscribe()) == 0
				for name, version := range m.GetInitialResourceVersions() {
					n, err := strconv.Atoi(version)
					if err != nil {
						n = -1
					}
					b.sent[name] = n
				}
			}
			for _, name := range m.GetResourceNamesSubscribe() {
				b.names[name] = true
			}
			for _, name := range m.GetResourceNamesUnsubscribe() {
				delete(b.names, name)
				delete(b.sent, name)
			}
		})
		return nil
	}, func(c *client, kind string, b *sub) func() error {
		m := &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: strconv.Itoa(s.versions[kind]), TypeUrl: kind}
		for _, name := range s.wants(kind, b) {
			e := s.resources[kind][name]
			var body *anypb.Any
			switch {
			case c.beat == kind:
			case b.sent[name] == e.version:
				continue
			default:
				body = e.body
			}
			m.Resources = append(m.Resources, &discoveryv3.Resource{Name: name, Version: strconv.Itoa(e.version), Resource: body, Ttl: durationOf(e.ttl)})
			b.sent[name] = e.version
		}
		for _, name := range slices.Sorted(maps.Keys(b.sent)) {
			if _, there := s.resources[kind][name]; !there {
				m.RemovedResources = append(m.RemovedResources, name)
				delete(b.sent, name)
			}
		}
		if len(m.Resources)+len(m.RemovedResources) == 0 {
			return nil
		}
		m.Nonce = s.nonce(c)
		return func() error { return st.Send(m) }
	})
}

// hear takes in a request on a stream.
func (s *Server) hear(c *client, node string, f func()) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if node != "" {
		c.node = node
	}
	f()
	s.cond.Broadcast()
}

// serve serves a stream: recv takes in one request, next says under the lock how to send what a type has to be told.
func (s *Server) serve(recv func(*client) error, next func(*client, string, *sub) func() error) error {
	c, err := s.open()
	if err != nil {
		return err
	}
	defer s.close(c)
	go func() {
		for recv(c) == nil {
		}
		s.hear(c, "", func() { c.gone = true })
	}()
	for {
		send, wait, err := s.due(c, next)
		if send == nil {
			return err
		}
		time.Sleep(wait)
		if err := send(); err != nil {
			return err
		}
	}
}

// due waits until something has to be sent; nil tells that the stream ends.
func (s *Server) due(c *client, next func(*client, string, *sub) func() error) (send func() error, wait time.Duration, err error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for {
		switch {
		case c.over:
			return nil, 0, errCut
		case c.gone:
			return nil, 0, nil
		}
		for _, kind := range []string{xds.ClusterType, xds.EndpointType} {
			b := c.subs[kind]
			if c.blurt == kind {
				b = &sub{all: true, names: map[string]bool{}, sent: map[string]int{}, news: true}
			}
			if b == nil || s.fault.muted {
				continue
			}
			if send = next(c, kind, b); c.beat == kind {
				c.beat = ""
			}
			if c.blurt == kind {
				c.blurt = ""
			}
			if send != nil {
				return send, s.fault.slow, nil
			}
		}
		s.cond.Wait()
	}
}

// CutStreams ends all streams in the middle.
func (s *Server) CutStreams() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for c := range s.streams {
		c.over = true
	}
	s.cond.Broadcast()
}
