// Package snapshot writes down a whole graph of objects and makes an equal one of it: numbers, texts, lists, maps,
// structs and the pointers between them, exported or not, whatever their types are called. Pointers to one object are
// pointers to one object again. Functions, channels and interfaces have no place in it.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// ErrDamaged tells that a snapshot is not as it was written, or is of other types.
var ErrDamaged = errors.New("the snapshot is damaged, or of another build")

// Names gives the stored names of types ("Type") and of their fields ("Type.field") that are called otherwise in code. So
// a rename in code changes no shape, and snapshots that were written before it are still read.
type Names map[string]string

// stored is the name that stands for one in code.
func (n Names) stored(name, otherwise string) string {
	if s, renamed := n[name]; renamed {
		return s
	}
	return otherwise
}

// Shape is a digest of a type with all that it reaches: a snapshot is read only by a build with the same shape.
func Shape(t reflect.Type, names Names) uint64 { return xxhash.Sum64String(shapeText(t, names)) }

// shapeText lists the kinds and stored names of a type and of all types and fields that it reaches, in their order.
func shapeText(t reflect.Type, names Names) string {
	var text strings.Builder
	seen := map[reflect.Type]bool{}
	var walk func(reflect.Type)
	walk = func(t reflect.Type) {
		fmt.Fprintf(&text, "%s %s;", t.Kind(), names.stored(t.Name(), t.Name()))
		if seen[t] {
			return
		}
		seen[t] = true
		switch t.Kind() {
		case reflect.Struct:
			for i := range t.NumField() {
				field := t.Field(i)
				fmt.Fprintf(&text, "%s:", names.stored(t.Name()+"."+field.Name, field.Name))
				walk(field.Type)
			}
		case reflect.Map:
			walk(t.Key())
			walk(t.Elem())
		case reflect.Slice, reflect.Pointer, reflect.Array:
			walk(t.Elem())
		}
	}
	walk(t)
	return text.String()
}

// Take writes down the object that root points to, and all that it reaches.
func Take(root any, names Names) ([]byte, error) {
	v := reflect.ValueOf(root)
	if v.Kind() != reflect.Pointer || v.IsNil() {
		return nil, errors.New("a snapshot begins with a pointer")
	}
	w := &taker{numbers: map[unsafe.Pointer]map[reflect.Type]uint64{}}
	w.out = binary.BigEndian.AppendUint64(nil, Shape(v.Type(), names))
	w.number(v)
	for at := 0; at < len(w.objects); at++ { // objects are written in the order in which they are first met
		w.value(w.objects[at].Elem())
	}
	return binary.BigEndian.AppendUint64(w.out, xxhash.Sum64(w.out)), w.err
}

type taker struct {
	out     []byte
	numbers map[unsafe.Pointer]map[reflect.Type]uint64 // from 1
	objects []reflect.Value
	err     error
}

// number is a pointer's object, counted from 1; 0 is nil. A struct and its first field share an address, so the type
// counts as well.
func (w *taker) number(p reflect.Value) uint64 {
	if p.IsNil() {
		return 0
	}
	byType := w.numbers[p.UnsafePointer()]
	if byType == nil {
		byType = map[reflect.Type]uint64{}
		w.numbers[p.UnsafePointer()] = byType
	}
	if byType[p.Type()] == 0 {
		w.objects = append(w.objects, p)
		byType[p.Type()] = uint64(len(w.objects))
	}
	return byType[p.Type()]
}

func (w *taker) uint(n uint64) { w.out = binary.AppendUvarint(w.out, n) }

func (w *taker) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			w.uint(1)
		} else {
			w.uint(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		w.out = binary.AppendVarint(w.out, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		w.uint(v.Uint())
	case reflect.Float32, reflect.Float64:
		w.uint(math.Float64bits(v.Float()))
	case reflect.String:
		w.uint(uint64(v.Len()))
		w.out = append(w.out, v.String()...)
	case reflect.Pointer:
		w.uint(w.number(v))
	case reflect.Slice:
		if v.IsNil() {
			w.uint(0)
			return
		}
		w.uint(uint64(v.Len()) + 1)
		for i := range v.Len() {
			w.value(v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			w.value(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			w.value(v.Field(i))
		}
	case reflect.Map:
		w.mapping(v)
	default:
		w.err = fmt.Errorf("a snapshot cannot hold a %v", v.Type())
	}
}

// mapping writes a map in the order of its keys as written, so that equal graphs are equal snapshots. Objects that are met
// first as keys have their numbers by the map's own order; so such maps may differ between two snapshots of one graph.
func (w *taker) mapping(v reflect.Value) {
	if v.IsNil() {
		w.uint(0)
		return
	}
	w.uint(uint64(v.Len()) + 1)
	type entry struct {
		key   []byte
		value reflect.Value
	}
	var entries []entry
	for it := v.MapRange(); it.Next(); {
		kept := w.out
		w.out = nil
		w.value(it.Key())
		entries = append(entries, entry{w.out, it.Value()})
		w.out = kept
	}
	slices.SortFunc(entries, func(a, b entry) int { return slices.Compare(a.key, b.key) })
	for _, e := range entries {
		w.out = append(w.out, e.key...)
		w.value(e.value)
	}
}

// Restore makes the graph of a snapshot. T is what the root points to.
func Restore[T any](b []byte, names Names) (*T, error) {
	root := reflect.TypeFor[*T]()
	if len(b) < 16 || xxhash.Sum64(b[:len(b)-8]) != binary.BigEndian.Uint64(b[len(b)-8:]) || binary.BigEndian.Uint64(b) != Shape(root, names) {
		return nil, ErrDamaged
	}
	r := &restorer{in: b[8 : len(b)-8]}
	first := r.object(1, root)
	for at := 0; at < len(r.objects) && r.err == nil; at++ {
		if !r.objects[at].IsValid() {
			return nil, ErrDamaged
		}
		r.value(r.objects[at].Elem())
	}
	if r.err == nil && len(r.in) > 0 {
		r.err = ErrDamaged
	}
	if r.err != nil {
		return nil, r.err
	}
	return first.Interface().(*T), nil
}

type restorer struct {
	in      []byte
	objects []reflect.Value
	err     error
}

// object is the object of a number, made when it is first met.
func (r *restorer) object(n uint64, t reflect.Type) reflect.Value {
	if n == 0 {
		return reflect.Zero(t)
	}
	if n > uint64(len(r.objects))+uint64(len(r.in))+1 {
		r.err = ErrDamaged
		return reflect.Zero(t)
	}
	for uint64(len(r.objects)) < n {
		r.objects = append(r.objects, reflect.Value{})
	}
	if !r.objects[n-1].IsValid() {
		r.objects[n-1] = reflect.New(t.Elem())
	}
	if r.objects[n-1].Type() != t {
		r.err = ErrDamaged
		return reflect.Zero(t)
	}
	return r.objects[n-1]
}

func (r *restorer) uint() uint64 {
	n, used := binary.Uvarint(r.in)
	if used <= 0 {
		r.err = ErrDamaged
		return 0
	}
	r.in = r.in[used:]
	return n
}

// length reads a length as it was written, plus one; each item has a byte at least, but for empty structs.
func (r *restorer) length() (n int, there bool) {
	u := r.uint()
	if u > uint64(len(r.in))+1 {
		r.err = ErrDamaged
		return 0, false
	}
	return int(u) - 1, u > 0
}

func (r *restorer) value(v reflect.Value) {
	if r.err != nil {
		return
	}
	if v.CanAddr() { // fields that are not exported may be set this way only
		v = reflect.NewAt(v.Type(), v.Addr().UnsafePointer()).Elem()
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(r.uint() == 1)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		n, used := binary.Varint(r.in)
		if used <= 0 {
			r.err = ErrDamaged
			return
		}
		r.in = r.in[used:]
		v.SetInt(n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(r.uint())
	case reflect.Float32, reflect.Float64:
		v.SetFloat(math.Float64frombits(r.uint()))
	case reflect.String:
		n := r.uint()
		if n > uint64(len(r.in)) {
			r.err = ErrDamaged
			return
		}
		v.SetString(string(r.in[:n]))
		r.in = r.in[n:]
	case reflect.Pointer:
		v.Set(r.object(r.uint(), v.Type()))
	case reflect.Slice:
		if n, there := r.length(); there {
			v.Set(reflect.MakeSlice(v.Type(), n, n))
			for i := range n {
				r.value(v.Index(i))
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			r.value(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			r.value(v.Field(i))
		}
	case reflect.Map:
		if n, there := r.length(); there {
			v.Set(reflect.MakeMapWithSize(v.Type(), n))
			for range n {
				key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
				r.value(key)
				r.value(value)
				if r.err != nil {
					return
				}
				v.SetMapIndex(key, value)
			}
		}
	default:
		r.err = fmt.Errorf("a snapshot cannot hold a %v", v.Type())
	}
}
