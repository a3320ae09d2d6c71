package sftp

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Capacities of a packet's head, in bytes, with which most need not grow.
const (
	defaultHeadCapacity = 96
	longHeadCapacity    = 320
)

// lengthSize is the size of a packet's length field, in bytes.
const lengthSize = 4

// Packet is a packet to send: its head, and a tail that is sent without a copy into the head.
type Packet struct {
	head []byte
	tail []byte
}

// New returns a packet of a type with a request's ID. Its length is filled in when it is sent.
func New(packetType Type, id uint32) *Packet { return newPacket(packetType, id, defaultHeadCapacity) }

// NewLong is New for a packet whose head is longer than usual.
func NewLong(packetType Type, id uint32) *Packet { return newPacket(packetType, id, longHeadCapacity) }

func newPacket(packetType Type, id uint32, headCapacity int) *Packet {
	p := &Packet{head: make([]byte, lengthSize, headCapacity)}
	p.head = append(p.head, byte(packetType))
	return p.Uint32(id)
}

// Size returns the packet's length on the connection, in bytes.
func (p *Packet) Size() int { return len(p.head) + len(p.tail) }

// Byte adds a byte.
func (p *Packet) Byte(b byte) *Packet {
	p.head = append(p.head, b)
	return p
}

// Uint32 adds a uint32.
func (p *Packet) Uint32(n uint32) *Packet {
	p.head = binary.BigEndian.AppendUint32(p.head, n)
	return p
}

// Uint64 adds a uint64.
func (p *Packet) Uint64(n uint64) *Packet {
	p.head = binary.BigEndian.AppendUint64(p.head, n)
	return p
}

// Text adds a string.
func (p *Packet) Text(s string) *Packet {
	p.Uint32(uint32(len(s)))
	p.head = append(p.head, s...)
	return p
}

// Tail adds the last string. Its bytes are not copied and must stay as they are until the packet is sent.
func (p *Packet) Tail(data []byte) *Packet {
	p.Uint32(uint32(len(data)))
	p.tail = data
	return p
}

// Attrs adds attributes.
func (p *Packet) Attrs(attrs Attrs) *Packet {
	p.Uint32(attrs.flags())
	if attrs.HasSize {
		p.Uint64(attrs.Size)
	}
	if attrs.HasMode {
		p.Uint32(attrs.Mode)
	}
	if attrs.HasTimes {
		p.Uint32(attrs.Accessed).Uint32(attrs.Modified)
	}
	return p
}

func (a Attrs) flags() (flags uint32) {
	if a.HasSize {
		flags |= attrSize
	}
	if a.HasMode {
		flags |= attrMode
	}
	if a.HasTimes {
		flags |= attrTimes
	}
	return flags
}

// Bytes returns the complete packet with its length, in two parts.
func (p *Packet) Bytes() (head, tail []byte) {
	binary.BigEndian.PutUint32(p.head, uint32(p.Size()-lengthSize))
	return p.head, p.tail
}

// NewStatus returns the answer to a request with a status and an English message (draft, section 7).
func NewStatus(id uint32, code Code, message string) *Packet {
	return New(Status, id).Uint32(uint32(code)).Text(message).Text("en")
}

// NewVersion returns a VERSION packet with extensions, in pairs of name and data (draft, section 4).
func NewVersion(extensions ...string) *Packet {
	p := New(Version, ProtocolVersion)
	for _, field := range extensions {
		p.Text(field)
	}
	return p
}

// Entry is one name of a NAME packet.
type Entry struct {
	Name  string
	Attrs Attrs
}

// NewNames returns the answer to a request with entries (draft, section 7).
func NewNames(id uint32, entries []Entry) *Packet {
	p := New(Name, id).Uint32(uint32(len(entries)))
	for _, entry := range entries {
		p.Text(entry.Name).Text(entry.longName()).Attrs(entry.Attrs)
	}
	return p
}

// longName returns the entry as a line of ls -l, with modes that stand for all files and all directories.
func (e Entry) longName() string {
	mode := "-rw-r--r--"
	if e.Attrs.Mode&modeTypeMask == ModeDirectory {
		mode = "drwxr-xr-x"
	}
	return fmt.Sprintf("%s 1 0 0 %d %d %s", mode, e.Attrs.Size, e.Attrs.Modified, e.Name)
}

// Body returns what follows the length and type. The packet must have no tail.
func (p *Packet) Body() []byte { return p.head[lengthSize+1:] }

// WriteOut writes the packet to a writer that is not a Conn.
func (p *Packet) WriteOut(w io.Writer) error {
	head, tail := p.Bytes()
	_, err := w.Write(append(head[:len(head):len(head)], tail...))
	return err
}
