package sftp

import "encoding/binary"

// ownerLength is the length of the user and group IDs in attributes, in bytes.
const ownerLength = 8

// Fields decodes the fields of a packet in order. After the first error all reads return zero values.
type Fields struct {
	rest []byte
	Err  error // the first decoding error: ErrShort
}

// NewFields returns a decoder for the bytes of a packet that follow its type.
func NewFields(body []byte) *Fields { return &Fields{rest: body} }

// take consumes the next n bytes. If fewer are left, it sets Err and returns nil.
func (f *Fields) take(n int) []byte {
	if f.Err != nil || n < 0 || n > len(f.rest) {
		if f.Err == nil {
			f.Err = ErrShort
		}
		return nil
	}
	taken := f.rest[:n:n]
	f.rest = f.rest[n:]
	return taken
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

// Bytes reads a string without copying it: the result shares the packet's memory.
func (f *Fields) Bytes() []byte {
	length := f.Uint32()
	if f.Err == nil && uint64(length) > uint64(len(f.rest)) {
		f.Err = ErrShort
		return nil
	}
	return f.take(int(length))
}

// Text reads a string.
func (f *Fields) Text() string { return string(f.Bytes()) }

// Attrs reads file attributes. It skips the user and group IDs and extended attributes.
func (f *Fields) Attrs() (attrs Attrs) {
	flags := f.Uint32()
	if flags&attrSize != 0 {
		attrs.HasSize = true
		attrs.Size = f.Uint64()
	}
	if flags&attrOwner != 0 {
		f.take(ownerLength)
	}
	if flags&attrMode != 0 {
		attrs.HasMode = true
		attrs.Mode = f.Uint32()
	}
	if flags&attrTimes != 0 {
		attrs.HasTimes = true
		attrs.Accessed = f.Uint32()
		attrs.Modified = f.Uint32()
	}
	if flags&attrExtended != 0 {
		for count := f.Uint32(); count > 0 && f.Err == nil; count-- {
			f.Bytes() // the type
			f.Bytes() // the value
		}
	}
	return attrs
}

// More reports whether unread bytes are left. After an error it returns false.
func (f *Fields) More() bool { return f.Err == nil && len(f.rest) > 0 }

// Done returns the first decoding error, or ErrExtra if unread bytes are left.
func (f *Fields) Done() error {
	if f.Err == nil && len(f.rest) > 0 {
		return ErrExtra
	}
	return f.Err
}
