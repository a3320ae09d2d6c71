package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"

	"irispost/internal/backend/node"
	"irispost/internal/fleet/client"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/rig"
	"irispost/internal/fleet/slowstart/agent"
	"irispost/internal/gateway"
	"irispost/internal/scale/meter"
)

const (
	eventQueueSize = 256
	probeClass     = "read"
	probeLevel     = "basic"
)

// Gateway is a real gateway without clients and without storage nodes.
type Gateway struct {
	Name           string
	fleet          *Fleet
	index          int
	zone           int
	replicaAddrs   []string      // as this gateway reaches them
	privateLinks   []*rig.Link   // its own links to them; none: it shares those of its zone
	pauseLock      sync.RWMutex  // locked for writing while the gateway is paused
	decisionDelay  atomic.Int64  // nanoseconds that each look at the active configuration takes
	traffic        meter.Bytes   // to and from replicas
	previousFormat bool          // it sends renewals in the form of the build before
	defects        Defect        // injected by a test
	defectVersion  atomic.Uint64 // the version that DefectLostVersion and DefectStaleList apply to; 0: none yet

	lock             sync.Mutex // guards all below
	running          bool
	startCount       int
	recorder         *listRecorder
	nodes            *fakeNodeClient
	loop             *gateway.Loop
	client           *client.Client
	agent            *agent.Agent     // nil: no slow start
	activationFile   string           // written by the client of this start
	activationOffset int64            // bytes of it that were read
	activations      []rig.Activation // read from it and not taken by an audit yet
}

// start starts the gateway. It is put together as internal/serve does for a gateway that follows replicas.
func (g *Gateway) start() error {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.startCount++
	g.recorder = &listRecorder{shards: g.fleet.Size.Nodes, leak: g.defects&DefectLeak != 0}
	g.nodes = &fakeNodeClient{}
	g.activationFile = filepath.Join(g.fleet.options.Dir, fmt.Sprintf("%s.%d.acts", g.Name, g.startCount))
	g.activationOffset = 0
	clock := pausableClock{gateway.NewClock(), &g.pauseLock}
	loopStarted := make(chan struct{})
	var loop *gateway.Loop
	options := g.clientOptions(clock)
	options.OnChange = func() {
		<-loopStarted
		loop.Wake()
	}
	if err := g.listenAgent(&options, clock); err != nil {
		return err
	}
	var err error
	if g.client, err = client.Start(options); err != nil {
		return err
	}
	source := &defectiveSource{ConfigSource: g.client, gateway: g}
	loop = gateway.Start(gateway.Options{
		Name:      g.Name,
		Seed:      uint64(g.index),
		Settings:  g.fleet.localSettings,
		QueueSize: eventQueueSize,
		Clock:     clock,
		Nodes:     g.nodes,
		Config:    agent.SettingsForwarder{ConfigSource: source, Agent: g.agent},
		Log:       g.fleet.options.Logger,
		Tap:       g.recorder,
	})
	g.loop = loop
	close(loopStarted)
	if g.agent != nil {
		g.agent.Start(g.loop)
	}
	g.running = true
	return nil
}

// clientOptions returns the options of the client of the replicas, but for its callbacks.
func (g *Gateway) clientOptions(clock gateway.Clock) client.Options {
	options := client.Options{
		Gateway:       g.Name,
		Holder:        client.NewHolderID(g.Name),
		Replicas:      g.replicaAddrs,
		RenewInterval: g.fleet.Size.RenewInterval,
		Now:           clock.Now,
		Seed:          uint64(g.index),
		LocalSettings: g.fleet.localSettings,
		RecordFile:    g.activationFile,
		Logger:        g.fleet.options.Logger,
		Dial:          g.dial(),
	}
	if g.defects&DefectNoLeaseExpiry != 0 {
		options.InjectedFaults = lease.FaultNoLeaseExpiry
	}
	if g.previousFormat {
		usePreviousFormat(&options)
	}
	return options
}

// listenAgent opens the slow-start agent, if the fleet has them, and connects the client of the replicas to it.
func (g *Gateway) listenAgent(options *client.Options, clock gateway.Clock) (err error) {
	g.agent = nil
	if !g.fleet.Size.SlowStart {
		return nil
	}
	g.agent, err = agent.Listen(agent.Options{
		Gateway:    g.Name,
		Holder:     options.Holder,
		ListenAddr: "127.0.0.1:0",
		Settings:   agent.SettingsFrom(g.fleet.localSettings, maxClockDrift),
		Now:        clock.Now,
		Logger:     g.fleet.options.Logger,
	})
	if err != nil {
		return err
	}
	options.PeerAddr = g.agent.Addr()
	options.OnMembership = g.agent.HandleMembership
	return nil
}

// dial returns the function that opens the gateway's connections to replicas. Their bytes are counted, and they pause
// with the gateway.
func (g *Gateway) dial() client.Dial {
	plain := (&net.Dialer{Timeout: g.fleet.Size.RenewInterval}).DialContext
	counted := meter.Dialer(plain, func(string) []*meter.Bytes { return []*meter.Bytes{&g.traffic, &g.fleet.traffic} })
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := counted(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return pausableConn{conn, &g.pauseLock}, nil
	}
}

// kill ends the gateway as a crash does, without a word to the replicas. From then on it acts on nothing.
func (g *Gateway) kill() {
	g.lock.Lock()
	defer g.lock.Unlock()
	if !g.running {
		return
	}
	g.running = false
	g.loop.Stop()
	g.client.Close()
	if g.agent != nil {
		g.agent.Close()
	}
	_ = g.readActivations() // what cannot be read is missing from the audit
	g.activations = append(g.activations, rig.Activation{At: monotonic()})
	_ = os.Remove(g.activationFile) // a new start writes another file
}

// actingOn returns what the gateway's scheduler acts on, by the last list that it received, or "not there".
func (g *Gateway) actingOn() string {
	g.lock.Lock()
	defer g.lock.Unlock()
	if !g.running {
		return "not there"
	}
	return g.recorder.actingOn()
}

// observed returns the updates since the last discard and the node that serves each shard now.
func (g *Gateway) observed() (updates []ListUpdate, nodeByShard []string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.recorder.observed()
}

// readActivations reads what the client has added to its record of activations. The lock is held.
func (g *Gateway) readActivations() error {
	file, err := os.Open(g.activationFile)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(g.activationOffset, io.SeekStart); err != nil {
		return err
	}
	text, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	text = text[:bytes.LastIndexByte(text, '\n')+1] // a line that is being written is read the next time
	activations, err := rig.ReadActivations(bytes.NewReader(text))
	g.activationOffset += int64(len(text))
	g.activations = append(g.activations, activations...)
	return err
}

// probeCount makes the idempotency keys of probes unique in this process.
var probeCount atomic.Int64

// probe submits a request of a shard and returns the address of the node at which its attempt was started; "": none
// was.
func (g *Gateway) probe(shard int) string {
	g.lock.Lock()
	loop, nodes := g.loop, g.nodes
	g.lock.Unlock()
	key := fmt.Sprintf("%s probe %d", g.Name, probeCount.Add(1))
	request := &gateway.RequestSpec{
		Volume:   &gateway.Volume{ID: 1, ServiceLevel: probeLevel, GatewayCount: 1},
		Class:    probeClass,
		Units:    1,
		Deadline: loop.Now() + int64(g.fleet.Size.Timeout),
		Call:     node.Call{IdempotencyKey: key, Shard: shard, Op: node.GetObject, Name: "probe"},
	}
	<-loop.Submit(nil, request)
	return nodes.takePlacement(key)
}
