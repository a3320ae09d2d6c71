// Package client is a gateway's client of the configuration replicas. It renews the gateway's lease, watches the
// replicas' log for changes, fetches the contents of versions, and tells the gateway's loop which configuration is
// in effect. The gateway and the test fleets use it.
//
// The pure package lease decides which configuration may be acted on. This package adds the clock, the sockets, the
// goroutines and two files: the last content (cacheFile) and the record of what was in effect (activationLog).
// Neither file is needed for correctness: without them a start fetches the full content again.
package client

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// Client renews a gateway's lease at the replicas and knows which configuration is in effect. Start creates one,
// Close stops it.
type Client struct {
	opt            Options
	replicas       *replica.Client // for renewals and contents; the watch uses connections of its own
	currentReplica atomic.Int64    // index of the replica in use, modulo the number of replicas

	mutex          sync.Mutex         // guards the four fields below
	stateMachine   *lease.Client      // decides what may be acted on
	effectiveName  string             // name of the configuration that At returned last; "none": nothing is in effect
	effectiveUntil int64              // when that configuration expires; 0: only a response can change it
	cancelWatch    context.CancelFunc // cancels the long poll

	// Owned by the renewal goroutine.
	fetcher        *fetcher
	checkedVersion *configversion.Version // last version that was checked for conflicts with the local configuration

	// Owned by the loop's goroutine, which alone calls At.
	endpoints   []endpoint.Node // as At returned them last; nil: none
	activations *activationLog  // nil: none
	ready       chan struct{}   // closed once a configuration is in effect

	// Shared between those goroutines.
	unchangedUntil  atomic.Int64 // nothing changes before this time; 0: ask the state machine
	preparedList    atomic.Pointer[preparedList]
	renewNow        chan struct{} // wakes renewLoop
	responseApplied chan struct{} // wakes watchLoop

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Start starts to renew a lease and to watch for changes. It returns an error if the activation record or the cache
// folder cannot be opened.
func Start(opt Options) (*Client, error) {
	opt.setDefaults()
	activations, err := openActivationLog(opt.RecordFile)
	if err != nil {
		return nil, err
	}
	file, cached, err := openCacheFile(opt.CacheDir, opt.Gateway, opt.Logger)
	if err != nil {
		activations.close()
		return nil, err
	}
	c := &Client{
		opt:             opt,
		replicas:        newReplicaClient(opt.Dial),
		activations:     activations,
		stateMachine:    newStateMachine(opt),
		effectiveName:   "none",
		cancelWatch:     func() {},
		ready:           make(chan struct{}),
		renewNow:        make(chan struct{}, 1),
		responseApplied: make(chan struct{}, 1),
	}
	c.fetcher = &fetcher{client: c, cache: content.NewCache(cached, 0), file: file}
	c.run()
	return c, nil
}

// newStateMachine returns the state machine that decides what the gateway may act on.
func newStateMachine(opt Options) *lease.Client {
	machine := lease.NewClient(opt.Holder, int64(opt.RenewInterval), opt.InjectedFaults)
	machine.SetPeerAddr(opt.PeerAddr)
	if opt.FullVersions {
		machine.RequestFullVersions()
	}
	return machine
}

// newReplicaClient returns a client that keeps at most one idle connection to each replica.
func newReplicaClient(dial Dial) *replica.Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &replica.Client{HTTPClient: &http.Client{Transport: transport}}
}

// run starts the goroutines. Close stops them.
func (c *Client) run() {
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(context.Background())
	c.goroutines.Add(2)
	go func() {
		defer c.goroutines.Done()
		c.renewLoop(ctx)
	}()
	go func() {
		defer c.goroutines.Done()
		c.watchLoop(ctx)
	}()
}

// Close stops the client and returns once its goroutines have ended and its files are written. It may be called
// more than once.
func (c *Client) Close() {
	c.cancel()
	c.goroutines.Wait()
	c.fetcher.file.close()
	c.activations.close()
}

// Ready returns a channel that is closed when a configuration comes into effect for the first time.
func (c *Client) Ready() <-chan struct{} { return c.ready }

// Status returns the state of the lease and the name of the configuration in effect, both for display only.
func (c *Client) Status() (state, effective string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stateMachine.State().String(), c.stateMachine.EffectiveName()
}

// replicaAddr returns the address of the replica in use.
func (c *Client) replicaAddr() string { return c.replicaAddrAfter(0) }

// replicaAddrAfter returns the address of the replica at an offset from the one in use, in the configured order.
func (c *Client) replicaAddrAfter(offset int) string {
	return c.opt.Replicas[(c.currentReplica.Load()+int64(offset))%int64(len(c.opt.Replicas))]
}

// logLines logs the lines that the state machine has produced.
func (c *Client) logLines(lines []string) {
	for _, line := range lines {
		c.opt.Logger.Info(line, "gateway", c.opt.Gateway)
	}
}

// notify wakes the receiver now or when it next waits. Notifications coalesce until one is received.
func notify(receiver chan<- struct{}) {
	select {
	case receiver <- struct{}{}:
	default:
	}
}

// sleep waits for a duration or until wake, which may be nil, receives a value. It returns false if the context has
// ended.
func sleep(ctx context.Context, duration time.Duration, wake <-chan struct{}) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-timer.C:
	}
	return true
}
