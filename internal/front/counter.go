package front

import "sync"

// requestCounter counts requests and background work in flight. Unlike a sync.WaitGroup it may be waited for while
// more begins.
type requestCounter struct {
	lock    sync.Mutex // guards what follows
	count   int
	waiters []chan struct{}
}

func (c *requestCounter) begin() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.count++
}

func (c *requestCounter) end() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.count--
	if c.count != 0 {
		return
	}
	for _, waiter := range c.waiters {
		close(waiter)
	}
	c.waiters = nil
}

// idle returns a channel that is closed once nothing is in flight.
func (c *requestCounter) idle() <-chan struct{} {
	c.lock.Lock()
	defer c.lock.Unlock()
	idle := make(chan struct{})
	if c.count == 0 {
		close(idle)
	} else {
		c.waiters = append(c.waiters, idle)
	}
	return idle
}
