// Package packetconn carries packets over netpoll connections: a queue to send from, limits in both directions, and
// one end for each connection, in whatever way that comes. What a packet is, is its handler's concern. The SFTP and
// iSCSI front ends and the node client are built on it.
//
// A Conn owns its netpoll connection and one goroutine that sends; packets are read on netpoll's goroutines.
package packetconn

import (
	"io"
	"time"

	"github.com/cloudwego/netpoll"
)

// netpoll logs each connection that breaks; the owner of a connection learns of that by Closed.
func init() {
	_ = netpoll.Configure(netpoll.Config{LoggerOutput: io.Discard}) // fails only for a number of pollers
}

// Limits are a connection's.
type Limits struct {
	MaxPacket    int           // longest packet that is read, in bytes
	MaxReadAhead int           // bytes that the peer may send ahead of what is read; past it the connection is closed
	MaxUnsent    int           // bytes that may wait for a peer that does not read; past it the connection is closed
	WriteTimeout time.Duration // a flush that takes longer closes the connection
}

// DefaultLimits are used where the configuration has none.
var DefaultLimits = Limits{
	MaxPacket:    256<<10 + 1024,
	MaxReadAhead: 32 << 20,
	MaxUnsent:    64 << 20,
	WriteTimeout: 10 * time.Second,
}
