package scale

import (
	"net"
	"sync"

	"irispost/internal/gateway"
	"irispost/scheduler"
)

// waitWhilePaused returns once nobody holds the gate for writing.
func waitWhilePaused(pauseLock *sync.RWMutex) {
	pauseLock.RLock()
	defer pauseLock.RUnlock()
}

// pausableClock is the clock of a gateway that can be paused.
type pausableClock struct {
	gateway.Clock
	pauseLock *sync.RWMutex
}

// Now returns the time, after the end of a pause.
func (c pausableClock) Now() scheduler.Time {
	c.pauseLock.RLock()
	defer c.pauseLock.RUnlock()
	return c.Clock.Now()
}

// pausableConn is a connection of a gateway that can be paused.
type pausableConn struct {
	net.Conn
	pauseLock *sync.RWMutex
}

// Read reads, and returns after the end of a pause.
func (c pausableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	waitWhilePaused(c.pauseLock)
	return n, err
}

// Write writes after the end of a pause.
func (c pausableConn) Write(b []byte) (int, error) {
	waitWhilePaused(c.pauseLock)
	return c.Conn.Write(b)
}
