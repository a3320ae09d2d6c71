package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"reflect"

	"github.com/cespare/xxhash/v2"
)

// ErrCorrupt is returned for a snapshot that was changed after it was written, or that holds other types.
var ErrCorrupt = errors.New("the snapshot is corrupt or was written by an incompatible build")

// Lengths in bytes of the shape before the objects of a snapshot and of the checksum after them.
const (
	headerBytes   = 8
	checksumBytes = 8
)

// Restore decodes a snapshot whose root object is a T. It returns ErrCorrupt if the bytes have changed since they
// were written, or if the stored type, by its stored names, is not that of T.
func Restore[T any](b []byte, names Names) (*T, error) {
	root := reflect.TypeFor[*T]()
	if len(b) < headerBytes+checksumBytes {
		return nil, ErrCorrupt
	}
	content, checksum := b[:len(b)-checksumBytes], b[len(b)-checksumBytes:]
	if xxhash.Sum64(content) != binary.BigEndian.Uint64(checksum) {
		return nil, ErrCorrupt
	}
	if binary.BigEndian.Uint64(content) != Shape(root, names) {
		return nil, ErrCorrupt
	}
	d := &decoder{rest: content[headerBytes:]}
	decodedRoot := d.object(1, root)
	for i := 0; i < len(d.objects) && d.err == nil; i++ {
		if !d.objects[i].IsValid() {
			return nil, ErrCorrupt
		}
		d.value(d.objects[i].Elem())
	}
	if d.err == nil && len(d.rest) > 0 {
		d.err = ErrCorrupt
	}
	if d.err != nil {
		return nil, d.err
	}
	return decodedRoot.Interface().(*T), nil
}

type decoder struct {
	rest    []byte
	objects []reflect.Value // pointers to the objects, by number - 1; invalid until first reached
	err     error
}

// object returns a pointer to object n, which it allocates on first use, or a nil pointer for 0.
func (d *decoder) object(n uint64, t reflect.Type) reflect.Value {
	if n == 0 {
		return reflect.Zero(t)
	}
	if n > uint64(len(d.objects))+uint64(len(d.rest))+1 {
		d.err = ErrCorrupt
		return reflect.Zero(t)
	}
	for uint64(len(d.objects)) < n {
		d.objects = append(d.objects, reflect.Value{})
	}
	if !d.objects[n-1].IsValid() {
		d.objects[n-1] = reflect.New(t.Elem())
	}
	if d.objects[n-1].Type() != t {
		d.err = ErrCorrupt
		return reflect.Zero(t)
	}
	return d.objects[n-1]
}

func (d *decoder) uint() uint64 {
	n, used := binary.Uvarint(d.rest)
	if used <= 0 {
		d.err = ErrCorrupt
		return 0
	}
	d.rest = d.rest[used:]
	return n
}

func (d *decoder) int() int64 {
	n, used := binary.Varint(d.rest)
	if used <= 0 {
		d.err = ErrCorrupt
		return 0
	}
	d.rest = d.rest[used:]
	return n
}

func (d *decoder) text() string {
	n := d.uint()
	if n > uint64(len(d.rest)) {
		d.err = ErrCorrupt
		return ""
	}
	text := string(d.rest[:n])
	d.rest = d.rest[n:]
	return text
}

// length reads the length of a slice or map, which is encoded plus one; 0 is nil. It rejects lengths above the number
// of bytes left, because each item takes at least one byte, unless it is an empty struct.
func (d *decoder) length() (n int, present bool) {
	encodedLength := d.uint()
	if encodedLength > uint64(len(d.rest))+1 {
		d.err = ErrCorrupt
		return 0, false
	}
	return int(encodedLength) - 1, encodedLength > 0
}

func (d *decoder) slice(v reflect.Value) {
	n, present := d.length()
	if !present {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), n, n))
	for i := range n {
		d.value(v.Index(i))
	}
}

func (d *decoder) mapping(v reflect.Value) {
	n, present := d.length()
	if !present {
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), n))
	for range n {
		key := reflect.New(v.Type().Key()).Elem()
		value := reflect.New(v.Type().Elem()).Elem()
		d.value(key)
		d.value(value)
		if d.err != nil {
			return
		}
		v.SetMapIndex(key, value)
	}
}

// value decodes into v, which must be zero.
func (d *decoder) value(v reflect.Value) {
	if d.err != nil {
		return
	}
	if v.CanAddr() { // reflection cannot set unexported fields otherwise
		v = reflect.NewAt(v.Type(), v.Addr().UnsafePointer()).Elem()
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(d.uint() == 1)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(d.int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(d.uint())
	case reflect.Float32, reflect.Float64:
		v.SetFloat(math.Float64frombits(d.uint()))
	case reflect.String:
		v.SetString(d.text())
	case reflect.Pointer:
		v.Set(d.object(d.uint(), v.Type()))
	case reflect.Slice:
		d.slice(v)
	case reflect.Array:
		for i := range v.Len() {
			d.value(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			d.value(v.Field(i))
		}
	case reflect.Map:
		d.mapping(v)
	default:
		d.err = fmt.Errorf("values of type %v are not supported in a snapshot", v.Type())
	}
}
