// Package packetconn carries packets over netpoll connections. It provides a send queue, limits in both directions,
// and a single close notification per connection, whatever ends it. The handler defines the format of packets. The
// SFTP and iSCSI front ends and the node client are built on this package.
//
// A Conn owns its netpoll connection and one goroutine that sends. Packets are read on netpoll's goroutines.
package packetconn

import (
	"io"
	"time"

	"github.com/cloudwego/netpoll"
)

// init discards the logs of netpoll, which logs each connection that breaks. The owner of a connection learns of that
// by Handler.Closed.
func init() {
	_ = netpoll.Configure(netpoll.Config{LoggerOutput: io.Discard}) // can fail only if a number of pollers is set
}

// Limits are the limits of a connection.
type Limits struct {
	MaxPacket    int           // maximum length of a packet that is read, in bytes
	MaxReadAhead int           // bytes that may have arrived and not been read; beyond that the connection is closed
	MaxUnsent    int           // bytes that may be queued for sending; beyond that the connection is closed
	WriteTimeout time.Duration // a flush that takes longer closes the connection
}

// DefaultLimits are used where the configuration sets no limits.
var DefaultLimits = Limits{
	MaxPacket:    256<<10 + 1024,
	MaxReadAhead: 32 << 20,
	MaxUnsent:    64 << 20,
	WriteTimeout: 10 * time.Second,
}
