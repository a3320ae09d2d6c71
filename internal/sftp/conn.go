package sftp

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"

	"irispost/internal/packetconn"
)

// Limits are a connection's limits.
type Limits = packetconn.Limits

// DefaultLimits are used where nothing else is said.
var DefaultLimits = packetconn.DefaultLimits

// ErrPeerClosed tells that the peer has closed the connection.
var ErrPeerClosed = packetconn.ErrPeerClosed

// Conn is a connection that carries packets.
type Conn = packetconn.Conn

// Server accepts connections.
type Server = packetconn.Server

// Frame is one packet that has come in. Body is its own memory, copied once out of the connection's buffer.
type Frame struct {
	Type Type
	Body []byte // after the type
}

// ID reads the request id, which all packets but INIT and VERSION begin with.
func (f Frame) ID() (uint32, *Fields) {
	r := NewFields(f.Body)
	return r.Uint32(), r
}

// Peer takes a connection's packets, one after the other.
type Peer interface {
	Packet(Frame) error // an error closes the connection
	Closed(why error)
}

// framed takes packets off a connection for a peer.
type framed struct {
	Peer
	conn *Conn
}

// ReadPacket takes the next packet. A length out of bounds is ErrLength: what follows cannot be read.
func (f framed) ReadPacket(r netpoll.Reader) error {
	head, err := r.Peek(4)
	if err != nil {
		return err
	}
	n, most := binary.BigEndian.Uint32(head), f.conn.Limits().MaxPacket
	if n < 5 || uint64(n) > uint64(most) {
		return fmt.Errorf("%w: %d bytes, from 5 to %d are taken", ErrLength, n, most)
	}
	if err := r.Skip(4); err != nil {
		return err
	}
	body, err := r.ReadBinary(int(n))
	if err != nil {
		return err
	}
	if err := r.Release(); err != nil {
		return err
	}
	return f.Packet(Frame{Type(body[0]), body[1:]})
}

// Listen serves connections at an address with a peer made for each, at most so many at a time (0: no limit).
func Listen(addr string, b Limits, most int, peer func(*Conn) Peer) (*Server, error) {
	return packetconn.Listen(addr, b, most, func(c *Conn) packetconn.Handler { return framed{peer(c), c} })
}

// Dial connects to an address, with a peer made for the connection.
func Dial(addr string, b Limits, within time.Duration, peer func(*Conn) Peer) (*Conn, error) {
	return packetconn.Dial(addr, b, within, func(c *Conn) packetconn.Handler { return framed{peer(c), c} })
}
