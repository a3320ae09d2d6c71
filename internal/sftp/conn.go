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

// DefaultLimits are the limits of a connection if none are configured.
var DefaultLimits = packetconn.DefaultLimits

// ErrPeerClosed means that the peer has closed the connection.
var ErrPeerClosed = packetconn.ErrPeerClosed

// Conn is a connection that carries SFTP packets.
type Conn = packetconn.Conn

// Server accepts connections and serves SFTP on them.
type Server = packetconn.Server

// Frame is a received packet.
type Frame struct {
	Type Type
	Body []byte // the bytes after the type, copied once out of the connection's buffer
}

// ID reads the request ID, with which every packet except INIT and VERSION begins, and returns it with the remaining
// fields.
func (f Frame) ID() (uint32, *Fields) {
	fields := NewFields(f.Body)
	return fields.Uint32(), fields
}

// Handler handles the packets of a connection.
type Handler interface {
	// Packet handles a packet. Calls are made one at a time. An error closes the connection.
	Packet(Frame) error
	// Closed is called once, with the reason, when the connection has ended. It runs on a goroutine of its own.
	Closed(cause error)
}

// minPacketLength is the length of a type and an ID or version, in bytes. The length field is not counted.
const minPacketLength = 5

// framedHandler splits the byte stream of a connection into packets and passes them to a Handler.
type framedHandler struct {
	Handler
	conn *Conn
}

// ReadPacket reads the next packet and handles it. It returns ErrLength for a length out of bounds, after which the
// stream cannot be decoded any further.
func (f framedHandler) ReadPacket(reader netpoll.Reader) error {
	head, err := reader.Peek(lengthSize)
	if err != nil {
		return err
	}
	length, limit := binary.BigEndian.Uint32(head), f.conn.Limits().MaxPacket
	if length < minPacketLength || uint64(length) > uint64(limit) {
		// The node client gives this text as the reason of failed calls, and clients get it in status texts.
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

// Listen accepts connections at an address, at most maxConns at a time (0: no limit). newHandler returns the handler
// of each.
func Listen(addr string, limits Limits, maxConns int, newHandler func(*Conn) Handler) (*Server, error) {
	return packetconn.Listen(addr, limits, maxConns, func(conn *Conn) packetconn.Handler {
		return framedHandler{Handler: newHandler(conn), conn: conn}
	})
}

// Dial connects to an address within a timeout. newHandler returns the connection's handler.
func Dial(addr string, limits Limits, timeout time.Duration, newHandler func(*Conn) Handler) (*Conn, error) {
	return packetconn.Dial(addr, limits, timeout, func(conn *Conn) packetconn.Handler {
		return framedHandler{Handler: newHandler(conn), conn: conn}
	})
}
