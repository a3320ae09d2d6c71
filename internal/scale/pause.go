package scale

import (
	"net"
	"sync"

	"irispost/internal/gateway"
	"irispost/scheduler"
)

// waitWhilePaused returns once the lock is not write-locked.
func waitWhilePaused(pauseLock *sync.RWMutex) {
	pauseLock.RLock()
	defer pauseLock.RUnlock()
}

// pausableClock is a gateway's clock that blocks while the gateway is paused.
type pausableClock struct {
	gateway.Clock
	pauseLock *sync.RWMutex
}

// Now waits for the end of a pause and returns the time.
func (c pausableClock) Now() scheduler.Time {
	c.pauseLock.RLock()
	defer c.pauseLock.RUnlock()
	return c.Clock.Now()
}

// pausableConn is a gateway's connection that blocks while the gateway is paused.
type pausableConn struct {
	net.Conn
	pauseLock *sync.RWMutex
}

// Read reads and then waits for the end of a pause, so that data that arrives during a pause is held back.
func (c pausableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	waitWhilePaused(c.pauseLock)
	return n, err
}

// Write waits for the end of a pause and writes.
func (c pausableConn) Write(b []byte) (int, error) {
	waitWhilePaused(c.pauseLock)
	return c.Conn.Write(b)
}
