// Package standin implements a simulated storage node for tests, scripted scenarios and demonstrations. The node stores
// a shard's data, simulates the execution time of the attempts that it receives, and injects faults on command.
//
// A Node runs one goroutine for each of its cores; one lock guards its queue, load figures and faults. The data are in
// a Store, which outlives the nodes that serve it. The node records attempts, replies, cancellations and the ends of
// connections as events for package audit.
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

// maxPacketSize is the size of the largest packet that a node accepts, in bytes.
const maxPacketSize = 4 << 20

// randomStream is the second word of the seed of a node's random number generator.
const randomStream = 7

// Options configures a Node.
type Options struct {
	Addr               string // address to listen on
	Zone               string
	Shard              int
	Store              *Store
	Cores              int           // number of attempts executed concurrently
	UnitTime           time.Duration // time that a core takes for a unit; 0: none, and no queue
	Queue              int           // capacity of the queue, in attempts
	DeferredWriteShare float64       // fraction of a write's execution time that is deferred and spent in batches
	DedupWindow        time.Duration // how long replies are kept by idempotency key

	SlowStart          bool          // the node starts at reduced speed
	SlowStartFrom      float64       // initial fraction of the full speed
	SlowStartTime      time.Duration // time until the node reaches its full speed
	SlowStartMultiple  float64       // the node stops if it receives over this multiple of its capacity; 0: no limit
	SlowStartWindow    time.Duration // window over which the received units are summed
	SlowStartFreeUnits float64       // units in a window that the node tolerates in any case

	ORCA     bool            // send load reports in the ORCA format
	Seed     uint64          // of the random number generator
	Recorder *audit.Recorder // receives the node's events; nil: none
}

// Node is a running simulated storage node.
type Node struct {
	options   Options
	server    *sftp.Server
	address   string
	startedAt time.Time

	lock             sync.Mutex // guards the fields below
	wakeCores        sync.Cond
	random           *rand.Rand
	queue            []*receivedAttempt
	inFlight         int           // number of attempts that are queued or being executed
	attemptsReceived int64         // including rejected and lost ones
	latency          time.Duration // exponentially weighted moving average of the execution time
	deferred         time.Duration // execution time of writes that is still deferred
	usageByVolume    map[int64]*volumeUsage
	slowStartLoad    []receivedUnits // attempts received in the slow-start window
	faults           faults
	closed           bool
}

// receivedUnits is the size of an attempt and the time of its arrival.
type receivedUnits struct {
	at    time.Time
	units float64
}

// Start starts a node that listens on options.Addr.
func Start(options Options) (*Node, error) {
	n := &Node{
		options:       options,
		startedAt:     time.Now(),
		usageByVolume: map[int64]*volumeUsage{},
		random:        rand.New(rand.NewPCG(options.Seed, randomStream)),
		faults:        noFaults,
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

// connectionCount is the number of the latest connection. All nodes of a process share it, so that the numbers are
// unique in a recording.
var connectionCount atomic.Int64

// accept returns the handler of a new connection. It closes the connection if the fault "refuse" is injected.
func (n *Node) accept(conn *sftp.Conn) sftp.Handler {
	n.lock.Lock()
	refuses := n.faults.refuseConnections
	n.lock.Unlock()
	if refuses {
		conn.Close(net.ErrClosed) // before the SFTP version exchange
	}
	return &peer{node: n, conn: conn, number: connectionCount.Add(1), handles: map[string]string{}}
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.address }

// StartedAt returns the time at which the node started.
func (n *Node) StartedAt() time.Time { return n.startedAt }

// AttemptsReceived returns the number of attempts received, including those that were rejected or lost.
func (n *Node) AttemptsReceived() int64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.attemptsReceived
}

// Close stops the node at once. Attempts in flight are lost.
func (n *Node) Close() {
	n.lock.Lock()
	n.closed = true
	n.queue = nil
	n.lock.Unlock()
	n.wakeCores.Broadcast()
	n.server.Close()
}

// capacity returns the rate at full speed, in units per second. UnitTime must be positive.
func (n *Node) capacity() float64 {
	return float64(n.options.Cores) / n.options.UnitTime.Seconds()
}

// speed returns the current fraction of the full speed: less than 1 during slow start.
func (n *Node) speed(now time.Time) float64 {
	age := now.Sub(n.startedAt)
	if !n.options.SlowStart || age >= n.options.SlowStartTime {
		return 1
	}
	from := n.options.SlowStartFrom
	return from + (1-from)*float64(age)/float64(n.options.SlowStartTime)
}

// exceedsSlowStartLimit adds an attempt to the load received during slow start, and reports whether that load now
// exceeds what the node tolerates. The caller holds the lock.
func (n *Node) exceedsSlowStartLimit(units float64, now time.Time) bool {
	options := &n.options
	speed := n.speed(now)
	if !options.SlowStart || speed >= 1 || options.SlowStartMultiple <= 0 || options.UnitTime <= 0 {
		return false
	}
	n.slowStartLoad = append(n.slowStartLoad, receivedUnits{now, units})
	for now.Sub(n.slowStartLoad[0].at) > options.SlowStartWindow {
		n.slowStartLoad = n.slowStartLoad[1:]
	}
	sum := 0.0
	for _, received := range n.slowStartLoad {
		sum += received.units
	}
	windowCapacity := n.capacity() * n.speed(now) * options.SlowStartWindow.Seconds()
	return sum > max(options.SlowStartMultiple*windowCapacity, options.SlowStartFreeUnits)
}
