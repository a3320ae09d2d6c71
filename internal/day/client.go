package day

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/audit"
	"irispost/internal/config"
	"irispost/internal/front"
	"irispost/internal/layout"
)

const (
	setUpAttempts  = 50
	setUpDelay     = 100 * time.Millisecond
	reconnectDelay = 200 * time.Millisecond
	idleDelay      = 24 * time.Hour // longer than any scenario
)

// clientTotals are what all clients have seen, with retries counted as part of the first attempt.
type clientTotals struct {
	lock            sync.Mutex // guards requests and withinObjective
	requests        int
	withinObjective int

	tornReads atomic.Int64 // answers with bytes that no client wrote
}

func (t *clientTotals) add(withinObjective bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.requests++
	if withinObjective {
		t.withinObjective++
	}
}

// requestClass is what a request counts as for its client.
type requestClass struct {
	name      string
	objective time.Duration // latency objective
	timeout   time.Duration // longest wait for the answer
}

// sentEvent is the record of a request of the class that is sent at a time, in nanoseconds.
func (r requestClass) sentEvent(at int64, session string, request uint32) audit.Event {
	return audit.Event{
		At:            at,
		Type:          audit.RequestSent,
		Session:       session,
		ClientRequest: request,
		RequestClass:  r.name,
		ObjectiveBy:   at + int64(r.objective),
		Deadline:      at + int64(r.timeout),
	}
}

// client is one scripted client. Its run goroutine draws from random and starts a goroutine for each request.
type client struct {
	plan           ClientPlan
	name           string
	gatewayAddress func() string // it may change
	volume         *front.Volume
	config         *config.Config
	recorder       *audit.Recorder
	totals         *clientTotals
	random         *rand.Rand
	files          []string // names
	stop           chan struct{}

	// Of a disk client.
	targetAddress func() string
	lun           uint16
	diskOffset    int64 // where the client's part of the disk begins

	lock       sync.Mutex // guards what follows
	connection *connection
	handles    []string // of the files, on the connection
	disk       *diskSession
}

// scriptedRequest is a request that a client has drawn.
type scriptedRequest struct {
	file   int // index
	block  int
	number int    // of the client's requests, from 1 on
	data   []byte // nil where the operation sends none
}

// class returns the request class of operations that are served as one request. The first names it; the longest
// objective and timeout hold.
func (c *client) class(operations ...front.OperationKind) requestClass {
	var class requestClass
	for i, operation := range operations {
		path := layout.Path{Volume: c.plan.Volume, Rel: c.files[0]}
		configured := c.volume.ClassOf(operation, path, uint64(c.plan.Bytes*c.plan.Blocks))
		if i == 0 {
			class.name = configured.Name
		}
		class.objective = max(class.objective, c.config.RequestClasses[configured.Name].LatencyObjective)
		class.timeout = max(class.timeout, configured.Timeout)
	}
	return class
}

// setUp connects, creates the client's files and fills them, in as many attempts as it takes.
func (c *client) setUp() error {
	var err error
	for range setUpAttempts {
		if err = c.connect(true); err == nil {
			return nil
		}
		time.Sleep(setUpDelay)
	}
	return fmt.Errorf("client %s: %w", c.name, err)
}

// connect connects anew and opens the client's files or disk; prepare fills them.
func (c *client) connect(prepare bool) error {
	if c.plan.Operation.onDisk() {
		return c.connectDisk(prepare)
	}
	return c.connectFiles(prepare)
}

// run sends requests at the client's rate until it is stopped. Requests do not wait for each other.
func (c *client) run() {
	var requests sync.WaitGroup
	began := time.Now()
	next := began.Add(c.plan.From)
	for number := 1; ; number++ {
		if c.plan.Until > 0 && next.After(began.Add(c.plan.Until)) {
			next = began.Add(idleDelay) // it sends nothing more, and waits for the end
		}
		next = next.Add(time.Duration(c.random.ExpFloat64() / c.plan.Rate * float64(time.Second)))
		select {
		case <-c.stop:
			requests.Wait()
			c.disconnect()
			return
		case <-time.After(time.Until(next)):
		}
		request := c.drawRequest(number)
		requests.Go(func() { c.runRequest(request) })
	}
}

// drawRequest draws the next request. The order of the draws is fixed, so that a seed gives the same requests again.
func (c *client) drawRequest(number int) scriptedRequest {
	request := scriptedRequest{number: number}
	request.file = c.random.IntN(len(c.files))
	request.block = c.random.IntN(c.plan.Blocks)
	if c.plan.Operation.sendsData() {
		request.data = randomBlocks(c.plan.Bytes, c.random)
	}
	return request
}

// disconnect closes the client's connections.
func (c *client) disconnect() {
	c.lock.Lock()
	connection, disk := c.connection, c.disk
	c.lock.Unlock()
	if connection != nil {
		connection.close()
	}
	if disk != nil {
		_ = disk.Close() // the scenario is over
	}
}

// objective is the latency objective of a request of the client.
func (c *client) objective() time.Duration {
	switch c.plan.Operation {
	case OperationRead, OperationDiskRead:
		return c.class(front.Read).objective
	case OperationStat:
		return c.class(front.Lookup).objective
	case OperationCreate: // open, write and close each have their objective
		return c.class(front.Write).objective + 2*c.class(front.Change).objective
	default:
		return c.class(front.Write).objective
	}
}

// runRequest does one request with its retries, and counts it once.
func (c *client) runRequest(request scriptedRequest) {
	objective := c.objective()
	began := time.Now()
	served := false
	for attempt := 0; attempt <= c.plan.Retries && !served; attempt++ {
		if attempt > 0 {
			time.Sleep(c.plan.RetryDelay)
		}
		served = c.attempt(request) == nil
	}
	c.totals.add(served && time.Since(began) <= objective)
}

// attempt sends a request once and returns nil where it was served. A connection that broke is replaced.
func (c *client) attempt(request scriptedRequest) error {
	c.lock.Lock()
	connection, disk := c.connection, c.disk
	handle := ""
	if connection != nil {
		handle = c.handles[request.file]
	}
	c.lock.Unlock()
	var err error
	switch {
	case disk != nil:
		err = c.diskAttempt(disk, c.plan.Operation == OperationDiskWrite, request.block, request.data)
	case connection != nil:
		err = c.fileAttempt(connection, handle, request)
	default:
		return errConnectionLost // it is being replaced
	}
	if errors.Is(err, errConnectionLost) {
		c.reconnect(connection, disk)
	}
	return err
}

// reconnect replaces a connection that broke; only the first call for a connection does.
func (c *client) reconnect(connection *connection, disk *diskSession) {
	c.lock.Lock()
	current := c.connection == connection && c.disk == disk
	if current {
		c.connection = nil
		c.disk = nil
	}
	c.lock.Unlock()
	if !current {
		return
	}
	go func() { // it ends with the scenario at the latest
		for c.connect(false) != nil {
			select {
			case <-c.stop:
				return
			case <-time.After(reconnectDelay):
			}
		}
	}()
}
