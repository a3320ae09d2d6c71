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

// HollowGateway is a gateway without clients and without storage nodes.
type HollowGateway struct {
	Name          string
	fleet         *Fleet
	index         int
	zone          int
	replicaAddrs  []string      // as this gateway reaches them
	privateLinks  []*rig.Link   // its own links to them; none: it shares those of its zone
	pauseGate     sync.RWMutex  // locked for writing while the gateway is paused
	decisionDelay atomic.Int64  // nanoseconds that each look at the active configuration takes
	traffic       meter.Counter // to and from replicas
	previousForm  bool          // it sends renewals in the form of the build before
	defects       Defect        // injected by a test
	defectVersion atomic.Uint64 // the version that DefectLostVersion and DefectStaleList apply to; 0: none yet

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
func (h *HollowGateway) start() error {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.startCount++
	h.recorder = &listRecorder{shards: h.fleet.Size.Nodes, leak: h.defects&DefectLeak != 0}
	h.nodes = &fakeNodeClient{}
	h.activationFile = filepath.Join(h.fleet.options.Dir, fmt.Sprintf("%s.%d.acts", h.Name, h.startCount))
	h.activationOffset = 0
	clock := pausableClock{gateway.NewClock(), &h.pauseGate}
	loopStarted := make(chan struct{})
	var loop *gateway.Loop
	options := h.clientOptions(clock)
	options.OnChange = func() {
		<-loopStarted
		loop.Wake()
	}
	if err := h.listenAgent(&options, clock); err != nil {
		return err
	}
	var err error
	if h.client, err = client.Start(options); err != nil {
		return err
	}
	source := &defectiveSource{ConfigSource: h.client, gateway: h}
	loop = gateway.Start(gateway.Options{
		Name:      h.Name,
		Seed:      uint64(h.index),
		Settings:  h.fleet.localSettings,
		QueueSize: eventQueueSize,
		Clock:     clock,
		Nodes:     h.nodes,
		Config:    agent.SettingsForwarder{ConfigSource: source, Agent: h.agent},
		Log:       h.fleet.options.Logger,
		Tap:       h.recorder,
	})
	h.loop = loop
	close(loopStarted)
	if h.agent != nil {
		h.agent.Start(h.loop)
	}
	h.running = true
	return nil
}

// clientOptions returns the options of the client of the replicas, but for its callbacks.
func (h *HollowGateway) clientOptions(clock gateway.Clock) client.Options {
	options := client.Options{
		Gateway:       h.Name,
		Holder:        client.NewHolderID(h.Name),
		Replicas:      h.replicaAddrs,
		RenewInterval: h.fleet.Size.RenewInterval,
		Now:           clock.Now,
		Seed:          uint64(h.index),
		LocalSettings: h.fleet.localSettings,
		RecordFile:    h.activationFile,
		Logger:        h.fleet.options.Logger,
		Dial:          h.dial(),
	}
	if h.defects&DefectNoLeaseExpiry != 0 {
		options.InjectedFaults = lease.FaultNoLeaseExpiry
	}
	if h.previousForm {
		usePreviousForm(&options)
	}
	return options
}

// listenAgent opens the slow-start agent, if the fleet has them, and connects the client of the replicas to it.
func (h *HollowGateway) listenAgent(options *client.Options, clock gateway.Clock) (err error) {
	h.agent = nil
	if !h.fleet.Size.SlowStart {
		return nil
	}
	h.agent, err = agent.Listen(agent.Options{
		Gateway:    h.Name,
		Holder:     options.Holder,
		ListenAddr: "127.0.0.1:0",
		Settings:   agent.SettingsFrom(h.fleet.localSettings, maxClockDrift),
		Now:        clock.Now,
		Logger:     h.fleet.options.Logger,
	})
	if err != nil {
		return err
	}
	options.PeerAddr = h.agent.Addr()
	options.OnMembership = h.agent.HandleMembership
	return nil
}

// dial returns the function that opens the gateway's connections to replicas. Their bytes are counted, and they pause
// with the gateway.
func (h *HollowGateway) dial() client.Dial {
	plain := (&net.Dialer{Timeout: h.fleet.Size.RenewInterval}).DialContext
	counted := meter.Dialer(plain, func(string) []*meter.Counter { return []*meter.Counter{&h.traffic, &h.fleet.traffic} })
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := counted(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return pausableConn{conn, &h.pauseGate}, nil
	}
}

// kill ends the gateway as a crash does, without a word to the replicas. From then on it acts on nothing.
func (h *HollowGateway) kill() {
	h.lock.Lock()
	defer h.lock.Unlock()
	if !h.running {
		return
	}
	h.running = false
	h.loop.Stop()
	h.client.Close()
	if h.agent != nil {
		h.agent.Close()
	}
	_ = h.readActivations() // what cannot be read is missing from the audit
	h.activations = append(h.activations, rig.Activation{At: monotonic()})
	_ = os.Remove(h.activationFile) // a new start writes another file
}

// actingOn returns what the gateway's scheduler acts on, by the last list that it received, or "not there".
func (h *HollowGateway) actingOn() string {
	h.lock.Lock()
	defer h.lock.Unlock()
	if !h.running {
		return "not there"
	}
	return h.recorder.actingOn()
}

// observed returns the updates since the last discard and the node that serves each shard now.
func (h *HollowGateway) observed() (updates []ListUpdate, nodeByShard []string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.recorder.observed()
}

// readActivations reads what the client has added to its record of activations. The lock is held.
func (h *HollowGateway) readActivations() error {
	file, err := os.Open(h.activationFile)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(h.activationOffset, io.SeekStart); err != nil {
		return err
	}
	text, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	text = text[:bytes.LastIndexByte(text, '\n')+1] // a line that is being written is read the next time
	activations, err := rig.ReadActivations(bytes.NewReader(text))
	h.activationOffset += int64(len(text))
	h.activations = append(h.activations, activations...)
	return err
}

// probeCount makes the idempotency keys of probes unique in this process.
var probeCount atomic.Int64

// probe submits a request of a shard and returns the address of the node at which its attempt was started; "": none
// was.
func (h *HollowGateway) probe(shard int) string {
	h.lock.Lock()
	loop, nodes := h.loop, h.nodes
	h.lock.Unlock()
	key := fmt.Sprintf("%s probe %d", h.Name, probeCount.Add(1))
	request := &gateway.RequestSpec{
		Volume:   &gateway.Volume{ID: 1, ServiceLevel: probeLevel, GatewayCount: 1},
		Class:    probeClass,
		Units:    1,
		Deadline: loop.Now() + int64(h.fleet.Size.Timeout),
		Call:     node.Call{IdempotencyKey: key, Shard: shard, Op: node.GetObject, Name: "probe"},
	}
	<-loop.Submit(nil, request)
	return nodes.takePlacement(key)
}
