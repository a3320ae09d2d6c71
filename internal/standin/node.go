// Package standin is a small storage node for tests, scripted scenarios and demonstrations: it holds a shard's data,
// takes its time over the attempts that it receives, and has faults on command.
//
// A Node has a goroutine for each of its cores; its queue, load figures and faults are under its lock. The data are in
// a Store, which outlives nodes. What passes on its sockets is recorded for package audit.
package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/audit"
	"irispost/internal/sftp"
)

// maxPacketSize is the largest packet that a node reads, in bytes.
const maxPacketSize = 4 << 20

// randomStream is the second half of the seed of a node's random source.
const randomStream = 7

// Options are what a node is made of.
type Options struct {
	Addr               string // to listen at
	Zone               string
	Shard              int
	Store              *Store
	Cores              int           // attempts executed at a time
	UnitTime           time.Duration // of a core for a unit; 0: none, and no queue
	Queue              int           // attempts that may wait
	DeferredWriteShare float64       // share of a write's time that is done later, in one go
	DedupWindow        time.Duration // how long idempotency keys are remembered

	SlowStart          bool    // it warms up
	SlowStartFrom      float64 // share of its speed that it has at its start
	SlowStartTime      time.Duration
	SlowStartMultiple  float64 // sent more than this multiple of its capacity in the window, it stops; 0: it bears all
	SlowStartWindow    time.Duration
	SlowStartFreeUnits float64 // units in a window that it bears in any case

	ORCA     bool // load reports have the ORCA form
	Seed     uint64
	Recorder *audit.Recorder // nil: none
}

// Node is a running test node.
type Node struct {
	options   Options
	server    *sftp.Server
	address   string
	startedAt time.Time

	lock             sync.Mutex // guards what follows
	wakeCores        sync.Cond
	random           *rand.Rand
	queue            []*receivedAttempt
	inFlight         int           // waiting or being executed
	attemptsReceived int64         // whatever became of them
	latency          time.Duration // exponentially weighted average of the time of an execution
	deferred         time.Duration // time of writes that was put off
	served           map[int64]*volumeUse
	warmUpLoad       []receivedUnits // in the slow-start window
	faults           faults
	closed           bool
}

// receivedUnits is what a node received at a time.
type receivedUnits struct {
	at    time.Time
	units float64
}

// Start starts a node.
func Start(options Options) (*Node, error) {
	n := &Node{
		options:   options,
		startedAt: time.Now(),
		served:    map[int64]*volumeUse{},
		random:    rand.New(rand.NewPCG(options.Seed, randomStream)),
		faults:    noFaults,
	}
	n.wakeCores.L = &n.lock
	limits := sftp.DefaultLimits
	limits.MaxPacket = maxPacketSize
	server, err := sftp.Listen(options.Addr, limits, 0, n.accept)
	if err != nil {
		return nil, err
	}
	n.server = server
	n.address = server.Addr()
	started := audit.Event{Type: audit.NodeStarted, Node: n.address, Shard: options.Shard}
	if options.SlowStart && options.UnitTime > 0 {
		started.Rate = n.capacity()
	}
	options.Recorder.Add(started)
	for range max(options.Cores, 1) {
		go n.runCore()
	}
	if options.DeferredWriteShare > 0 {
		go n.runDeferredWrites()
	}
	return n, nil
}

// connectionCount numbers the connections to all nodes of a process.
var connectionCount atomic.Int64

// accept serves a new connection.
func (n *Node) accept(conn *sftp.Conn) sftp.Handler {
	n.lock.Lock()
	refuses := n.faults.refuseConnections
	n.lock.Unlock()
	if refuses {
		conn.Close(net.ErrClosed) // at once, before it could greet
	}
	return &peer{node: n, conn: conn, number: connectionCount.Add(1), handles: map[string]string{}}
}

// Addr returns the address that it serves at.
func (n *Node) Addr() string { return n.address }

// StartedAt returns when it started.
func (n *Node) StartedAt() time.Time { return n.startedAt }

// AttemptsReceived counts the attempts that have come in, whatever became of them.
func (n *Node) AttemptsReceived() int64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.attemptsReceived
}

// Close stops it at once: what it has in flight is lost.
func (n *Node) Close() {
	n.lock.Lock()
	n.closed = true
	n.queue = nil
	n.lock.Unlock()
	n.wakeCores.Broadcast()
	n.server.Close()
}

// capacity is what a node executes when it is warmed up, in units a second. UnitTime is over 0.
func (n *Node) capacity() float64 {
	return float64(n.options.Cores) / n.options.UnitTime.Seconds()
}

// speed is the share of its full speed that a node has: under 1 while it warms up.
func (n *Node) speed(now time.Time) float64 {
	age := now.Sub(n.startedAt)
	if !n.options.SlowStart || age >= n.options.SlowStartTime {
		return 1
	}
	from := n.options.SlowStartFrom
	return from + (1-from)*float64(age)/float64(n.options.SlowStartTime)
}

// overloads adds an attempt to the load of a node that warms up, and says whether it is more than the node bears. The
// lock is held.
func (n *Node) overloads(units float64, now time.Time) bool {
	options := &n.options
	speed := n.speed(now)
	if !options.SlowStart || speed >= 1 || options.SlowStartMultiple <= 0 || options.UnitTime <= 0 {
		return false
	}
	n.warmUpLoad = append(n.warmUpLoad, receivedUnits{now, units})
	for now.Sub(n.warmUpLoad[0].at) > options.SlowStartWindow {
		n.warmUpLoad = n.warmUpLoad[1:]
	}
	sum := 0.0
	for _, received := range n.warmUpLoad {
		sum += received.units
	}
	possible := n.capacity() * n.speed(now) * options.SlowStartWindow.Seconds()
	return sum > max(options.SlowStartMultiple*possible, options.SlowStartFreeUnits)
}
