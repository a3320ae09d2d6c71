package sftp

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"

	"irispost/internal/packetconn"
)

// Limits are the limits of a connection.
type Limits = packetconn.Limits

// DefaultLimits are the limits where none are configured.
var DefaultLimits = packetconn.DefaultLimits

// ErrPeerClosed tells that the peer has closed the connection.
var ErrPeerClosed = packetconn.ErrPeerClosed

// Conn is a connection that carries packets.
type Conn = packetconn.Conn

// Server accepts connections.
type Server = packetconn.Server

// Frame is a packet that was received.
type Frame struct {
	Type Type
	Body []byte // after the type; memory of its own, copied once out of the connection's buffer
}

// ID reads the request's ID, with which all packets but INIT and VERSION begin, and returns the fields after it.
func (f Frame) ID() (uint32, *Fields) {
	fields := NewFields(f.Body)
	return fields.Uint32(), fields
}

// Handler handles a connection's packets, one after the other.
type Handler interface {
	// Packet handles a packet. An error closes the connection.
	Packet(Frame) error
	// Closed is called once, with the reason, when the connection has ended.
	Closed(cause error)
}

// minPacketLength is that of a type and an ID or a version, without the length field, in bytes.
const minPacketLength = 5

// framedHandler reads packets from a connection for a peer.
type framedHandler struct {
	Handler
	conn *Conn
}

// ReadPacket reads the next packet. A length out of bounds is ErrLength: what follows cannot be read.
func (f framedHandler) ReadPacket(reader netpoll.Reader) error {
	head, err := reader.Peek(lengthSize)
	if err != nil {
		return err
	}
	length, limit := binary.BigEndian.Uint32(head), f.conn.Limits().MaxPacket
	if length < minPacketLength || uint64(length) > uint64(limit) {
		return fmt.Errorf("%w: %d bytes, from %d to %d are taken", ErrLength, length, minPacketLength, limit)
	}
	if err := reader.Skip(lengthSize); err != nil {
		return err
	}
	body, err := reader.ReadBinary(int(length))
	if err != nil {
		return err
	}
	if err := reader.Release(); err != nil {
		return err
	}
	return f.Packet(Frame{Type: Type(body[0]), Body: body[1:]})
}

// Listen serves connections at an address, each with a peer that newHandler returns, at most maxConns at a time (0: no
// limit).
func Listen(addr string, limits Limits, maxConns int, newHandler func(*Conn) Handler) (*Server, error) {
	return packetconn.Listen(addr, limits, maxConns, func(conn *Conn) packetconn.Handler {
		return framedHandler{Handler: newHandler(conn), conn: conn}
	})
}

// Dial connects to an address within a timeout, with a peer that newHandler returns.
func Dial(addr string, limits Limits, timeout time.Duration, newHandler func(*Conn) Handler) (*Conn, error) {
	return packetconn.Dial(addr, limits, timeout, func(conn *Conn) packetconn.Handler {
		return framedHandler{Handler: newHandler(conn), conn: conn}
	})
}
