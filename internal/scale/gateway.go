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

// Gateway is a gateway that serves no clients and whose storage nodes are faked. The rest is as in production.
type Gateway struct {
	Name           string
	fleet          *Fleet
	index          int
	zone           int
	replicaAddrs   []string      // at which this gateway reaches the replicas
	privateLinks   []*rig.Link   // to the replicas; none: it shares the links of its zone
	pauseLock      sync.RWMutex  // write-locked while the gateway is paused
	decisionDelay  atomic.Int64  // nanoseconds added to each read of the active configuration
	traffic        meter.Counter // between this gateway and the replicas
	previousFormat bool          // sends renewals in the previous build's format
	defects        Defect        // defects that a test injects
	defectVersion  atomic.Uint64 // to which DefectLostVersion and DefectStaleList apply; 0: none

	lock             sync.Mutex // guards the fields below
	running          bool
	startCount       int
	recorder         *listRecorder
	nodes            *fakeNodeClient
	loop             *gateway.Loop
	client           *client.Client
	agent            *agent.Agent     // nil: no slow start
	activationFile   string           // written by the replica client since the last start
	activationOffset int64            // number of bytes of activationFile that were read
	activations      []rig.Activation // read from activationFile and not audited yet
}

// start starts the gateway. It assembles it in the way of internal/serve for a gateway that follows replicas.
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

// clientOptions returns the options of the replica client, except for its callbacks.
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

// listenAgent opens the slow-start agent, if the fleet uses slow start, and connects the replica client to it.
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

// dial returns the function that opens connections to replicas. They count their bytes and pause together with the
// gateway.
func (g *Gateway) dial() client.Dial {
	plain := (&net.Dialer{Timeout: g.fleet.Size.RenewInterval}).DialContext
	counted := meter.Dialer(plain, func(string) []*meter.Counter { return []*meter.Counter{&g.traffic, &g.fleet.traffic} })
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := counted(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return pausableConn{conn, &g.pauseLock}, nil
	}
}

// kill stops the gateway without notifying the replicas, as a crash would, and records that it acts on nothing.
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
	_ = g.readActivations() // activations that cannot be read are missing from the audit
	g.activations = append(g.activations, rig.Activation{At: monotonic()})
	_ = os.Remove(g.activationFile) // the next start writes another file
}

// actingOn describes what the gateway's scheduler acts on, according to the last endpoint list that it received.
func (g *Gateway) actingOn() string {
	g.lock.Lock()
	defer g.lock.Unlock()
	if !g.running {
		return "nothing (not running)"
	}
	return g.recorder.actingOn()
}

// observed returns the recorded updates since the last discard and the address of each shard's current node.
func (g *Gateway) observed() (updates []ListUpdate, nodeByShard []string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.recorder.observed()
}

// readActivations reads what the client has added to its record of activations. The caller holds the lock.
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
	text = text[:bytes.LastIndexByte(text, '\n')+1] // an incomplete last line is read by the next call
	activations, err := rig.ReadActivations(bytes.NewReader(text))
	g.activationOffset += int64(len(text))
	g.activations = append(g.activations, activations...)
	return err
}

// probeCount numbers probes, so that their idempotency keys are unique in this process.
var probeCount atomic.Int64

// probe submits a request for a shard, waits for its end, and returns the address of the node at which its first
// attempt was started, or "" if none was.
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
