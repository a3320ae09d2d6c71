package sftp

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Initial capacities of a packet's head, in bytes. Most packets fit without growing it.
const (
	defaultHeadCapacity = 96
	longHeadCapacity    = 320
)

// lengthSize is the size of a packet's length field, in bytes.
const lengthSize = 4

// Packet is a packet to send. It consists of a head and an optional tail, which is sent without being copied into the
// head.
type Packet struct {
	head []byte
	tail []byte
}

// New returns a packet with a type and a request ID. Its length is filled in when it is sent.
func New(packetType Type, id uint32) *Packet { return newPacket(packetType, id, defaultHeadCapacity) }

// NewLong is like New, for a packet with a longer head than most.
func NewLong(packetType Type, id uint32) *Packet { return newPacket(packetType, id, longHeadCapacity) }

func newPacket(packetType Type, id uint32, headCapacity int) *Packet {
	p := &Packet{head: make([]byte, lengthSize, headCapacity)}
	p.head = append(p.head, byte(packetType))
	return p.Uint32(id)
}

// Size returns the encoded length of the packet in bytes, including the length field.
func (p *Packet) Size() int { return len(p.head) + len(p.tail) }

// Byte appends a byte.
func (p *Packet) Byte(b byte) *Packet {
	p.head = append(p.head, b)
	return p
}

// Uint32 appends a uint32.
func (p *Packet) Uint32(n uint32) *Packet {
	p.head = binary.BigEndian.AppendUint32(p.head, n)
	return p
}

// Uint64 appends a uint64.
func (p *Packet) Uint64(n uint64) *Packet {
	p.head = binary.BigEndian.AppendUint64(p.head, n)
	return p
}

// Text appends a string.
func (p *Packet) Text(s string) *Packet {
	p.Uint32(uint32(len(s)))
	p.head = append(p.head, s...)
	return p
}

// Tail sets the last field, a string. Its bytes are not copied and must not change until the packet is sent.
func (p *Packet) Tail(data []byte) *Packet {
	p.Uint32(uint32(len(data)))
	p.tail = data
	return p
}

// Attrs appends file attributes.
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

// Bytes fills in the length and returns the encoded packet in two parts.
func (p *Packet) Bytes() (head, tail []byte) {
	binary.BigEndian.PutUint32(p.head, uint32(p.Size()-lengthSize))
	return p.head, p.tail
}

// NewStatus returns a STATUS response with an English message (section 7 of the draft).
func NewStatus(id uint32, code Code, message string) *Packet {
	return New(Status, id).Uint32(uint32(code)).Text(message).Text("en")
}

// NewVersion returns a VERSION packet with extensions, given as pairs of name and data (section 4 of the draft).
func NewVersion(extensions ...string) *Packet {
	p := New(Version, ProtocolVersion)
	for _, field := range extensions {
		p.Text(field)
	}
	return p
}

// Entry is a file name with attributes in a NAME packet.
type Entry struct {
	Name  string
	Attrs Attrs
}

// NewNames returns a NAME response with entries (section 7 of the draft).
func NewNames(id uint32, entries []Entry) *Packet {
	p := New(Name, id).Uint32(uint32(len(entries)))
	for _, entry := range entries {
		p.Text(entry.Name).Text(entry.longName()).Attrs(entry.Attrs)
	}
	return p
}

// longName returns the entry as a line of ls -l. All files show the same mode, and so do all directories.
func (e Entry) longName() string {
	mode := "-rw-r--r--"
	if e.Attrs.Mode&modeTypeMask == ModeDirectory {
		mode = "drwxr-xr-x"
	}
	return fmt.Sprintf("%s 1 0 0 %d %d %s", mode, e.Attrs.Size, e.Attrs.Modified, e.Name)
}

// Body returns the bytes after the length and type. The packet must not have a tail.
func (p *Packet) Body() []byte { return p.head[lengthSize+1:] }

// WriteOut writes the encoded packet to w. A Conn sends packets with Conn.Send instead.
func (p *Packet) WriteOut(w io.Writer) error {
	head, tail := p.Bytes()
	_, err := w.Write(append(head[:len(head):len(head)], tail...))
	return err
}
