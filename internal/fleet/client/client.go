// Package client is a gateway's client of the configuration replicas. It renews the gateway's lease, watches for
// changes of the replicas' log, fetches the contents of versions, and tells the gateway's loop which
// configuration is in effect. The gateway and the test fleets call it.
//
// What may be acted on is decided by the pure package lease; this package has the clock, the sockets, the
// goroutines and two files: the last content (cacheFile) and the record of what was in effect (activationLog).
// Neither file is needed for correctness: a start without them fetches everything again.
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

// Client renews a gateway's lease at the replicas and knows which configuration is in effect. Start makes one,
// Close ends it.
type Client struct {
	opt      Options
	replicas *replica.Client // for renewals and contents; the watch has connections of its own
	current  atomic.Int64    // index of the replica that is called, modulo their number

	mutex          sync.Mutex         // guards these four
	stateMachine   *lease.Client      // what may be acted on
	effectiveName  string             // what the loop has; "none": nothing is in effect
	effectiveUntil int64              // until when it is; 0: until a response
	cancelWatch    context.CancelFunc // ends the long poll

	// Owned by the renewal goroutine.
	fetcher        *fetcher
	checkedVersion *configversion.Version // its conflicts with the local configuration were logged

	// Owned by the loop's goroutine, which alone calls At.
	endpoints   []endpoint.Node // as the loop has them; nil: none
	activations *activationLog  // nil: none
	ready       chan struct{}   // closed once something is in effect

	// Between those goroutines.
	unchangedUntil  atomic.Int64 // what is in effect stays until then; 0: the state machine has to be looked at
	preparedList    atomic.Pointer[preparedList]
	renewNow        chan struct{} // a renewal is due at once
	responseApplied chan struct{} // for the watch

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Start begins to renew a lease and to watch for changes. It fails if the record or the cache folder cannot be
// opened.
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

// newStateMachine makes the pure side of a client.
func newStateMachine(opt Options) *lease.Client {
	machine := lease.NewClient(opt.Holder, int64(opt.RenewInterval), opt.InjectedFaults)
	machine.SetPeerAddr(opt.PeerAddr)
	if opt.FullVersions {
		machine.RequestFullVersions()
	}
	return machine
}

// newReplicaClient makes a client that calls replicas over one connection to each.
func newReplicaClient(dial Dial) *replica.Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &replica.Client{HTTPClient: &http.Client{Transport: transport}}
}

// run starts the goroutines. Close waits for their end.
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

// Close ends the client, and returns once its goroutines have ended and its files are written. It may be called
// more than once.
func (c *Client) Close() {
	c.cancel()
	c.goroutines.Wait()
	c.fetcher.file.close()
	c.activations.close()
}

// Ready is closed when a configuration is in effect for the first time.
func (c *Client) Ready() <-chan struct{} { return c.ready }

// Status is the state of the lease and the name of what is in effect, both for people.
func (c *Client) Status() (state, effective string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stateMachine.State().String(), c.stateMachine.EffectiveName()
}

// replicaAddr is the address of the replica that is called now.
func (c *Client) replicaAddr() string { return c.replicaAddrAfter(0) }

// replicaAddrAfter is the address of the replica so many places after the one that is called now.
func (c *Client) replicaAddrAfter(places int) string {
	return c.opt.Replicas[(c.current.Load()+int64(places))%int64(len(c.opt.Replicas))]
}

// logLines logs what the state machine had to say.
func (c *Client) logLines(lines []string) {
	for _, line := range lines {
		c.opt.Logger.Info(line, "gateway", c.opt.Gateway)
	}
}

// notify wakes the receiver now, or when it next waits. Notifications that were not received are one.
func notify(receiver chan<- struct{}) {
	select {
	case receiver <- struct{}{}:
	default:
	}
}

// sleep waits for a duration, or until something is received from wake, which may be nil. It is false once the
// context has ended.
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
