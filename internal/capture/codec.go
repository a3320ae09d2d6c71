package capture

import (
	"encoding/binary"
	"math"
)

// codec encodes or decodes values. The same traversal of a record's fields serves both directions, so that encoding
// and decoding cannot disagree about the format.
type codec struct {
	out     []byte // encoded bytes
	in      []byte // bytes still to be decoded
	reading bool
	invalid bool // the decoded bytes are malformed
}

func (c *codec) uvarint(v *uint64) {
	if !c.reading {
		c.out = binary.AppendUvarint(c.out, *v)
		return
	}
	n, used := binary.Uvarint(c.in)
	if used <= 0 {
		c.invalid = true
		n, used = 0, len(c.in)
	}
	*v = n
	c.in = c.in[used:]
}

// zigzag encodes or decodes a signed integer with its sign in the lowest bit.
func (c *codec) zigzag(v *int64) {
	n := uint64(*v)<<1 ^ uint64(*v>>63)
	c.uvarint(&n)
	*v = int64(n>>1) ^ -int64(n&1)
}

func (c *codec) count(v *int) {
	n := int64(*v)
	c.zigzag(&n)
	*v = int(n)
}

func (c *codec) flag(v *bool) {
	n := uint64(0)
	if *v {
		n = 1
	}
	c.uvarint(&n)
	*v = n == 1
}

func (c *codec) float(v *float64) {
	n := math.Float64bits(*v)
	c.uvarint(&n)
	*v = math.Float64frombits(n)
}

func (c *codec) text(v *string) {
	n := uint64(len(*v))
	c.uvarint(&n)
	if !c.reading {
		c.out = append(c.out, *v...)
		return
	}
	if n > uint64(len(c.in)) {
		c.invalid = true
		n = uint64(len(c.in))
	}
	*v = string(c.in[:n])
	c.in = c.in[n:]
}

// list encodes or decodes the length of a list and its items.
func list[T any](c *codec, v *[]T, item func(*T)) {
	n := uint64(len(*v))
	c.uvarint(&n)
	if c.reading {
		if n > uint64(len(c.in)) { // each item takes at least one byte
			c.invalid = true
			n = 0
		}
		*v = nil
		if n > 0 {
			*v = make([]T, n)
		}
	}
	for i := range *v {
		item(&(*v)[i])
	}
}

// enumeration encodes or decodes an enumerated value as an integer.
func enumeration[T ~uint8](c *codec, v *T) {
	n := int(*v)
	c.count(&n)
	*v = T(n)
}
