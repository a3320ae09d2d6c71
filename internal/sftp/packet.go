// Package sftp encodes and decodes the packets of SFTP version 3 (draft-ietf-secsh-filexfer-02), and carries them
// over netpoll connections. It knows no files: who uses it gives packets a meaning. The cryptography and the channel
// of the draft's section 2 are left out; packets follow each other on the plain connection.
package sftp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Type is a packet's type (draft, section 3).
type Type uint8

// Packet types of SFTP version 3.
const (
	Init          Type = 1
	Version       Type = 2
	Open          Type = 3
	Close         Type = 4
	Read          Type = 5
	Write         Type = 6
	Lstat         Type = 7
	Fstat         Type = 8
	Setstat       Type = 9
	Fsetstat      Type = 10
	Opendir       Type = 11
	Readdir       Type = 12
	Remove        Type = 13
	Mkdir         Type = 14
	Rmdir         Type = 15
	Realpath      Type = 16
	Stat          Type = 17
	Rename        Type = 18
	Readlink      Type = 19
	Symlink       Type = 20
	Status        Type = 101
	Handle        Type = 102
	Data          Type = 103
	Name          Type = 104
	Attributes    Type = 105
	Extended      Type = 200
	ExtendedReply Type = 201
)

// Code is a status code (draft, section 7).
type Code uint32

// Status codes of SFTP version 3.
const (
	OK            Code = 0
	EOF           Code = 1
	NoSuchFile    Code = 2
	Denied        Code = 3
	Failure       Code = 4
	BadMessage    Code = 5
	NoConnection  Code = 6
	ConnLost      Code = 7
	OpUnsupported Code = 8
)

// Open's flags (draft, section 6.3).
const (
	FlagRead   = 0x01
	FlagWrite  = 0x02
	FlagAppend = 0x04
	FlagCreate = 0x08
	FlagTrunc  = 0x10
	FlagExcl   = 0x20
)

// Attribute flags (draft, section 5).
const (
	attrSize     = 0x00000001
	attrOwner    = 0x00000002
	attrMode     = 0x00000004
	attrTimes    = 0x00000008
	attrExtended = 0x80000000
)

// Modes of files and folders, as POSIX has them.
const (
	ModeFolder = 0o040000
	ModeFile   = 0o100000
	ModeBits   = 0o7777
)

// ProtocolVersion is the one that is spoken.
const ProtocolVersion = 3

// Decoding errors. ErrLength closes the connection; the others are answered with BadMessage.
var (
	ErrLength = errors.New("packet length out of bounds")
	ErrShort  = errors.New("packet ends inside a field")
	ErrExtra  = errors.New("packet goes on after its last field")
)

// Attrs is a file's attributes. Has tells which are there.
type Attrs struct {
	HasSize, HasMode, HasTimes bool
	Size                       uint64 // bytes
	Mode                       uint32
	Accessed, Modified         uint32 // seconds since 1970
}

// Fields reads a packet's fields one after the other. The first error stays, and all later reads give zeros.
type Fields struct {
	rest []byte
	Err  error
}

// NewFields reads from a packet's bytes after its type.
func NewFields(b []byte) *Fields { return &Fields{rest: b} }

func (f *Fields) take(n int) []byte {
	if f.Err != nil || n < 0 || n > len(f.rest) {
		if f.Err == nil {
			f.Err = ErrShort
		}
		return nil
	}
	b := f.rest[:n:n]
	f.rest = f.rest[n:]
	return b
}

// Byte reads one byte.
func (f *Fields) Byte() byte {
	if b := f.take(1); b != nil {
		return b[0]
	}
	return 0
}

// Uint32 reads a uint32.
func (f *Fields) Uint32() uint32 {
	if b := f.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// Uint64 reads a uint64.
func (f *Fields) Uint64() uint64 {
	if b := f.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// Bytes reads a string without copying it: it is good as long as the packet is.
func (f *Fields) Bytes() []byte {
	n := f.Uint32()
	if f.Err == nil && uint64(n) > uint64(len(f.rest)) {
		f.Err = ErrShort
		return nil
	}
	return f.take(int(n))
}

// Text reads a string.
func (f *Fields) Text() string { return string(f.Bytes()) }

// Attrs reads attributes. Owners and extended attributes are read over.
func (f *Fields) Attrs() (a Attrs) {
	flags := f.Uint32()
	if flags&attrSize != 0 {
		a.HasSize, a.Size = true, f.Uint64()
	}
	if flags&attrOwner != 0 {
		f.take(8)
	}
	if flags&attrMode != 0 {
		a.HasMode, a.Mode = true, f.Uint32()
	}
	if flags&attrTimes != 0 {
		a.HasTimes, a.Accessed, a.Modified = true, f.Uint32(), f.Uint32()
	}
	if flags&attrExtended != 0 {
		for n := f.Uint32(); n > 0 && f.Err == nil; n-- {
			f.Bytes()
			f.Bytes()
		}
	}
	return a
}

// More tells whether fields are left.
func (f *Fields) More() bool { return f.Err == nil && len(f.rest) > 0 }

// Done is the first error, or ErrExtra where bytes are left.
func (f *Fields) Done() error {
	if f.Err == nil && len(f.rest) > 0 {
		return ErrExtra
	}
	return f.Err
}

// Packet is a packet on its way out: its head, and a tail that is sent without being copied into the head.
type Packet struct {
	head []byte
	tail []byte
}

// New begins a packet. Its length is filled in by Conn.Send.
func New(t Type, id uint32) *Packet { return sized(t, id, 96) }

// NewLong begins a packet whose head is longer than usual.
func NewLong(t Type, id uint32) *Packet { return sized(t, id, 320) }

func sized(t Type, id uint32, n int) *Packet {
	p := &Packet{head: make([]byte, 4, n)}
	p.head = append(p.head, byte(t))
	return p.Uint32(id)
}

// Size is the packet's length on the connection, in bytes.
func (p *Packet) Size() int { return len(p.head) + len(p.tail) }

// Byte adds a byte.
func (p *Packet) Byte(b byte) *Packet { p.head = append(p.head, b); return p }

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

// Tail adds a last string, whose bytes are not copied and must stay as they are.
func (p *Packet) Tail(b []byte) *Packet {
	p.Uint32(uint32(len(b)))
	p.tail = b
	return p
}

// Attrs adds attributes.
func (p *Packet) Attrs(a Attrs) *Packet {
	flags := uint32(0)
	for _, have := range []struct {
		has  bool
		flag uint32
	}{{a.HasSize, attrSize}, {a.HasMode, attrMode}, {a.HasTimes, attrTimes}} {
		if have.has {
			flags |= have.flag
		}
	}
	p.Uint32(flags)
	if a.HasSize {
		p.Uint64(a.Size)
	}
	if a.HasMode {
		p.Uint32(a.Mode)
	}
	if a.HasTimes {
		p.Uint32(a.Accessed).Uint32(a.Modified)
	}
	return p
}

// Bytes is the whole packet with its length, in two parts.
func (p *Packet) Bytes() (head, tail []byte) {
	binary.BigEndian.PutUint32(p.head, uint32(p.Size()-4))
	return p.head, p.tail
}

// StatusOf answers a request with a status (draft, section 7).
func StatusOf(id uint32, c Code, text string) *Packet {
	return New(Status, id).Uint32(uint32(c)).Text(text).Text("en")
}

// Hello is a VERSION packet with its extensions, in pairs of name and data (draft, section 4).
func Hello(extensions ...string) *Packet {
	p := New(Version, ProtocolVersion)
	for _, e := range extensions {
		p.Text(e)
	}
	return p
}

// Entry is one name of a NAME packet.
type Entry struct {
	Name  string
	Attrs Attrs
}

// Names answers with entries (draft, section 7).
func Names(id uint32, entries []Entry) *Packet {
	p := New(Name, id).Uint32(uint32(len(entries)))
	for _, e := range entries {
		kind := "-rw-r--r--"
		if e.Attrs.Mode&0o170000 == ModeFolder {
			kind = "drwxr-xr-x"
		}
		p.Text(e.Name).Text(fmt.Sprintf("%s 1 0 0 %d %d %s", kind, e.Attrs.Size, e.Attrs.Modified, e.Name)).Attrs(e.Attrs)
	}
	return p
}

// String names the code as the draft does.
func (c Code) String() string {
	names := [...]string{"OK", "EOF", "NO_SUCH_FILE", "PERMISSION_DENIED", "FAILURE", "BAD_MESSAGE", "NO_CONNECTION",
		"CONNECTION_LOST", "OP_UNSUPPORTED"}
	if int(c) < len(names) {
		return names[c]
	}
	return fmt.Sprintf("status %d", uint32(c))
}

// Body is what the packet holds after its length and type. A packet with a tail is not asked for it.
func (p *Packet) Body() []byte { return p.head[5:] }

// WriteOut writes the packet to a plain writer.
func (p *Packet) WriteOut(w io.Writer) error {
	head, tail := p.Bytes()
	_, err := w.Write(append(head[:len(head):len(head)], tail...))
	return err
}
