package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/internal/fleet/client"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/rig"
	"irispost/internal/fleet/slowstart/agent"
	"irispost/internal/gateway"
	"irispost/internal/scale/meter"
	"irispost/scheduler"
)

// Hollow is a gateway without clients.
type Hollow struct {
	Name    string
	fleet   *Fleet
	number  int
	zone    int
	reach   []string      // addresses of the keepers, as it reaches them
	private []*rig.Link   // its own links to them; none: it shares those of its zone
	gate    sync.RWMutex  // held while it stands still
	slow    atomic.Int64  // nanoseconds that each look at what it acts on takes
	bytes   meter.Bytes   // of following, both ways
	before  bool          // it asks in the form of the build before
	flaw    Flaw          // a defect that a test put in
	lost    atomic.Uint64 // with LoseVersion: the version that it is not told of

	lock    sync.Mutex
	there   bool
	starts  int
	witness *witness
	nodes   *nowhere
	loop    *gateway.Loop
	follow  *client.Client
	cold    *agent.Agent
	record  string // file, of this start
	read    int64  // bytes of it that were read
	acts    []rig.Activation
}

// Flaw is a defect that a test puts in, to show that a case sees it.
type Flaw uint

// The defects.
const (
	LoseVersion Flaw = 1 << iota // a gateway's module is not told of one version
	LeftOut                      // a gateway is not started again
	Leak                         // a gateway keeps each list
	NoLease                      // leases never run out at a gateway
	TurnsBack                    // a gateway's module is told of the version before once more
)

// standing is the time of a process that may stand still.
type standing struct {
	gateway.Clock
	gate *sync.RWMutex
}

// Now waits while the process stands still.
func (s standing) Now() scheduler.Time {
	s.gate.RLock()
	defer s.gate.RUnlock()
	return s.Clock.Now()
}

// gated is a connection of a process that may stand still.
type gated struct {
	net.Conn
	gate *sync.RWMutex
}

func (g gated) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	g.wait()
	return n, err
}

func (g gated) Write(b []byte) (int, error) {
	g.wait()
	return g.Conn.Write(b)
}

// wait returns once the gate is open.
func (g gated) wait() {
	g.gate.RLock()
	defer g.gate.RUnlock()
}

// looks is what the loop asks, each time before it decides.
type looks struct {
	gateway.ConfigSource
	h     *Hollow
	whole endpoint.List // what it was told of nodes, all together
	last  endpoint.List // that, of the version that it acted on alone last
}

// told takes a list, or what has changed in one.
func (l *looks) told(list endpoint.List) {
	if !list.Partial {
		l.whole = list
		return
	}
	nodes := slices.Clone(l.whole.Nodes)
	for _, n := range list.Nodes {
		if i := slices.IndexFunc(nodes, func(o endpoint.Node) bool { return o.Addr == n.Addr }); i >= 0 {
			nodes[i] = n
		} else {
			nodes = append(nodes, n)
		}
	}
	l.whole = endpoint.List{Version: list.Version, Nodes: nodes}
}

// At is the follower's, for a slow gateway after a while, and for one with a defect without what it loses.
func (l *looks) At(now scheduler.Time) (*gateway.ActiveConfig, scheduler.Time) {
	if slow := l.h.slow.Load(); slow > 0 {
		time.Sleep(time.Duration(slow))
	}
	acts, until := l.ConfigSource.At(now)
	if acts == nil {
		return nil, until
	}
	if lost := l.h.lost.Load(); lost > 0 && alone(acts.List.Version) == lost {
		if l.h.flaw&LoseVersion != 0 {
			return nil, until
		}
		if l.h.flaw&TurnsBack != 0 && l.last.Version != "" {
			l.h.lost.Store(0)
			go func() {
				l.h.loop.UpdateEndpoints(acts.List)
				l.h.loop.UpdateEndpoints(l.last)
			}()
			return acts, until
		}
	}
	if l.h.flaw&TurnsBack != 0 {
		l.told(acts.List)
		if alone(acts.List.Version) > 0 {
			l.last = l.whole
		}
	}
	return acts, until
}

// start starts it, as the program puts a gateway together that follows: internal/serve.
func (h *Hollow) start() (err error) {
	h.lock.Lock()
	defer h.lock.Unlock()
	s := &h.fleet.Size
	h.starts++
	h.witness = &witness{shards: s.Nodes, leaks: h.flaw&Leak != 0}
	h.nodes = &nowhere{}
	h.record, h.read = filepath.Join(h.fleet.opt.Dir, fmt.Sprintf("%s.%d.acts", h.Name, h.starts)), 0
	clock := standing{gateway.NewClock(), &h.gate}
	stands := make(chan struct{})
	var loop *gateway.Loop
	who := client.NewHolderID(h.Name)
	o := client.Options{Gateway: h.Name, Holder: who, Replicas: h.reach, RenewInterval: s.RenewInterval, Now: clock.Now, OnChange: func() { <-stands; loop.Wake() },
		Seed: uint64(h.number), LocalSettings: h.fleet.own, RecordFile: h.record, Logger: h.fleet.opt.Logger, Dial: h.dial()}
	if h.flaw&NoLease != 0 {
		o.InjectedFaults = lease.FaultNoLeaseExpiry
	}
	if h.before {
		formBefore(&o)
	}
	h.cold = nil
	if s.SlowStart {
		if h.cold, err = agent.Listen(agent.Options{Gateway: h.Name, Holder: who, ListenAddr: "127.0.0.1:0", Settings: agent.SettingsFrom(h.fleet.own, 0.01), Now: clock.Now,
			Logger: h.fleet.opt.Logger}); err != nil {
			return err
		}
		o.PeerAddr, o.OnMembership = h.cold.Addr(), h.cold.HandleMembership
	}
	if h.follow, err = client.Start(o); err != nil {
		return err
	}
	loop = gateway.Start(gateway.Options{Name: h.Name, Seed: uint64(h.number), Settings: h.fleet.own, QueueSize: 256, Clock: clock, Nodes: h.nodes,
		Config: agent.SettingsForwarder{ConfigSource: &looks{ConfigSource: h.follow, h: h}, Agent: h.cold}, Log: h.fleet.opt.Logger, Tap: h.witness})
	h.loop = loop
	close(stands)
	if h.cold != nil {
		h.cold.Start(h.loop)
	}
	h.there = true
	return nil
}

// dial opens its connections to keepers: what passes is counted, and stands still with it.
func (h *Hollow) dial() client.Dial {
	plain := (&net.Dialer{Timeout: h.fleet.Size.RenewInterval}).DialContext
	counted := meter.Dialer(plain, func(string) []*meter.Bytes { return []*meter.Bytes{&h.bytes, &h.fleet.bytes} })
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := counted(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return gated{c, &h.gate}, nil
	}
}

// kill ends it as a crash does: nobody is told. From then on it acts on nothing.
func (h *Hollow) kill() {
	h.lock.Lock()
	defer h.lock.Unlock()
	if !h.there {
		return
	}
	h.there = false
	h.loop.Stop()
	h.follow.Close()
	if h.cold != nil {
		h.cold.Close()
	}
	_ = h.readActs() // what cannot be read is missing from the audit
	h.acts = append(h.acts, rig.Activation{At: monotonic()})
	_ = os.Remove(h.record)
}

// acting tells what its module was told last to act on.
func (h *Hollow) acting() string {
	h.lock.Lock()
	defer h.lock.Unlock()
	if !h.there {
		return "not there"
	}
	return h.witness.acts()
}

// seen is what its module was told since the last forget.
func (h *Hollow) seen() (turns []Turn, serves []string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.witness.seen()
}

// readActs reads on in the follower's own record of what it acted on; the lock is held.
func (h *Hollow) readActs() error {
	file, err := os.Open(h.record)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(h.read, io.SeekStart); err != nil {
		return err
	}
	b, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	b = b[:bytes.LastIndexByte(b, '\n')+1] // a line that is being written is read the next time
	list, err := rig.ReadActivations(bytes.NewReader(b))
	h.read += int64(len(b))
	h.acts = append(h.acts, list...)
	return err
}

// probe has its module place a job of a shard, and tells at which node it was begun. "": at none.
func (h *Hollow) probe(shard int) string {
	h.lock.Lock()
	loop, nodes := h.loop, h.nodes
	h.lock.Unlock()
	mark := fmt.Sprintf("%s probe %d", h.Name, probes.Add(1))
	w := &gateway.RequestSpec{Volume: &gateway.Volume{ID: 1, ServiceLevel: "basic", Gateways: 1}, Class: "read", Units: 1, Deadline: loop.Now() + int64(h.fleet.Size.Timeout),
		Call: node.Call{IdempotencyKey: mark, Shard: shard, Op: node.GetObject, Name: "probe"}}
	<-loop.Submit(nil, w)
	addr, _ := nodes.begun.LoadAndDelete(mark)
	to, _ := addr.(string)
	return to
}

var probes atomic.Int64
