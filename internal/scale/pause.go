package scale

import (
	"net"
	"sync"

	"irispost/internal/gateway"
	"irispost/scheduler"
)

// waitAtGate returns once nobody holds the gate for writing.
func waitAtGate(gate *sync.RWMutex) {
	gate.RLock()
	defer gate.RUnlock()
}

// pausableClock is the clock of a gateway that can be paused.
type pausableClock struct {
	gateway.Clock
	pauseGate *sync.RWMutex
}

// Now returns the time, after the end of a pause.
func (c pausableClock) Now() scheduler.Time {
	c.pauseGate.RLock()
	defer c.pauseGate.RUnlock()
	return c.Clock.Now()
}

// pausableConn is a connection of a gateway that can be paused.
type pausableConn struct {
	net.Conn
	pauseGate *sync.RWMutex
}

// Read reads, and returns after the end of a pause.
func (c pausableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	waitAtGate(c.pauseGate)
	return n, err
}

// Write writes after the end of a pause.
func (c pausableConn) Write(b []byte) (int, error) {
	waitAtGate(c.pauseGate)
	return c.Conn.Write(b)
}
