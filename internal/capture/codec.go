package capture

import (
	"encoding/binary"
	"math"
)

// codec writes or reads values. One walk over a record's fields serves both, so that what is written and what is read
// cannot differ.
type codec struct {
	out     []byte // what is written
	in      []byte // what is still to be read
	reading bool
	invalid bool // what was read is not as it was written
}

func (c *codec) number(v *uint64) {
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

// signed walks over a number with its sign in the lowest bit.
func (c *codec) signed(v *int64) {
	n := uint64(*v)<<1 ^ uint64(*v>>63)
	c.number(&n)
	*v = int64(n>>1) ^ -int64(n&1)
}

func (c *codec) count(v *int) {
	n := int64(*v)
	c.signed(&n)
	*v = int(n)
}

func (c *codec) flag(v *bool) {
	n := uint64(0)
	if *v {
		n = 1
	}
	c.number(&n)
	*v = n == 1
}

func (c *codec) float(v *float64) {
	n := math.Float64bits(*v)
	c.number(&n)
	*v = math.Float64frombits(n)
}

func (c *codec) text(v *string) {
	n := uint64(len(*v))
	c.number(&n)
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

// list walks over a list's items.
func list[T any](c *codec, v *[]T, item func(*T)) {
	n := uint64(len(*v))
	c.number(&n)
	if c.reading {
		if n > uint64(len(c.in)) { // an item has a byte at least
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

// enumeration walks over a value of a type with few values, as a count.
func enumeration[T ~uint8](c *codec, v *T) {
	n := int(*v)
	c.count(&n)
	*v = T(n)
}
