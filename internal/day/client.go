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
	idleDelay      = 24 * time.Hour // exceeds maxLength, the longest scenario
)

// clientTotals counts the requests of all clients. A request and its retries count as one.
type clientTotals struct {
	lock            sync.Mutex // guards requests and withinObjective
	requests        int
	withinObjective int

	tornReads atomic.Int64 // read responses with torn blocks or of a wrong length
}

func (t *clientTotals) add(withinObjective bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.requests++
	if withinObjective {
		t.withinObjective++
	}
}

// requestClass holds the limits by which a client judges its requests of a class.
type requestClass struct {
	name      string
	objective time.Duration // latency objective
	timeout   time.Duration // longest wait for the response
}

// sentEvent returns the audit event of a request of this class that is sent at the given time, in nanoseconds.
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

// client is one scripted client. Once it is set up, only its run goroutine draws from random. It starts a goroutine
// for each request.
type client struct {
	plan           ClientPlan
	name           string
	gatewayAddress func() string // changes when the gateway restarts
	volume         *front.Volume
	config         *config.Config
	recorder       *audit.Recorder
	totals         *clientTotals
	random         *rand.Rand
	files          []string // names within the volume
	stop           chan struct{}

	// Set for disk clients only.
	targetAddress func() string
	lun           uint16
	diskOffset    int64 // start of the client's part of the disk, in bytes

	lock       sync.Mutex // guards what follows
	connection *connection
	handles    []string // of files, in the same order; valid on connection
	disk       *diskSession
}

// scriptedRequest is a request with its randomly chosen parameters.
type scriptedRequest struct {
	file   int // index in client.files
	block  int
	number int    // counts the client's requests from 1
	data   []byte // nil if the operation sends no data
}

// class returns the request class of a request that the gateway may serve as any of the operations. It has the name of
// the first one's class, and the longest objective and timeout of all.
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

// setUp connects the client, and creates and fills its files or its part of the disk. It makes up to setUpAttempts
// attempts.
func (c *client) setUp() error {
	var err error
	for range setUpAttempts {
		if err = c.connect(true); err == nil {
			return nil
		}
		time.Sleep(setUpDelay)
	}
	return fmt.Errorf("setting up client %s: %w", c.name, err)
}

// connect makes a new connection and opens the client's files or disk. With prepare, it also fills them with data.
func (c *client) connect(prepare bool) error {
	if c.plan.Operation.onDisk() {
		return c.connectDisk(prepare)
	}
	return c.connectFiles(prepare)
}

// run sends requests until the client is stopped. Arrivals are a Poisson process of the client's rate, and a request
// does not wait for the responses of earlier ones.
func (c *client) run() {
	var requests sync.WaitGroup
	began := time.Now()
	next := began.Add(c.plan.From)
	for number := 1; ; number++ {
		if c.plan.Until > 0 && next.After(began.Add(c.plan.Until)) {
			next = began.Add(idleDelay) // no more requests until the client is stopped
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

// drawRequest chooses the next request at random. The order of the draws is fixed, so that the same seed gives the
// same requests.
func (c *client) drawRequest(number int) scriptedRequest {
	request := scriptedRequest{number: number}
	request.file = c.random.IntN(len(c.files))
	request.block = c.random.IntN(c.plan.Blocks)
	if c.plan.Operation.sendsData() {
		request.data = randomBlocks(c.plan.Bytes, c.random)
	}
	return request
}

// disconnect closes the client's connection or disk session.
func (c *client) disconnect() {
	c.lock.Lock()
	connection, disk := c.connection, c.disk
	c.lock.Unlock()
	if connection != nil {
		connection.close()
	}
	if disk != nil {
		_ = disk.Close() // no request is left that could be affected
	}
}

// objective returns the latency objective of the client's requests.
func (c *client) objective() time.Duration {
	switch c.plan.Operation {
	case OperationRead, OperationDiskRead:
		return c.class(front.Read).objective
	case OperationStat:
		return c.class(front.Lookup).objective
	case OperationCreate: // the sum over open, write and close
		return c.class(front.Write).objective + 2*c.class(front.Change).objective
	default:
		return c.class(front.Write).objective
	}
}

// runRequest sends a request and its retries, and counts them as one request.
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

// attempt sends a request once and returns nil if it was served. A lost connection is replaced in the background.
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
		return errConnectionLost // reconnect is replacing the connection
	}
	if errors.Is(err, errConnectionLost) {
		c.reconnect(connection, disk)
	}
	return err
}

// reconnect replaces a lost connection. Only the first call for a connection has an effect.
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
	go func() { // ends with the scenario at the latest
		for c.connect(false) != nil {
			select {
			case <-c.stop:
				return
			case <-time.After(reconnectDelay):
			}
		}
	}()
}
