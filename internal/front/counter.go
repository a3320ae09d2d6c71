package front

import "sync"

// requestCounter counts requests and background tasks in flight. Unlike with a sync.WaitGroup, new ones may begin
// while others wait for the count to reach 0.
type requestCounter struct {
	lock    sync.Mutex // guards the fields below
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

// idle returns a channel that is closed as soon as nothing is in flight.
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
