package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// Take encodes the object that root points to and everything that it reaches. It returns an error if it reaches a
// type that is not supported.
func Take(root any, names Names) ([]byte, error) {
	v := reflect.ValueOf(root)
	if v.Kind() != reflect.Pointer || v.IsNil() {
		return nil, errors.New("the root of a snapshot must be a pointer that is not nil")
	}
	e := &encoder{objectNumbers: map[unsafe.Pointer]map[reflect.Type]uint64{}}
	e.out = binary.BigEndian.AppendUint64(nil, Shape(v.Type(), names))
	e.objectNumber(v)
	for i := 0; i < len(e.objects); i++ { // first reached, first encoded; this may append further objects
		e.value(e.objects[i].Elem())
	}
	return binary.BigEndian.AppendUint64(e.out, xxhash.Sum64(e.out)), e.err
}

type encoder struct {
	out           []byte
	objectNumbers map[unsafe.Pointer]map[reflect.Type]uint64 // by address and type, from 1
	objects       []reflect.Value                            // pointers to the objects, by number - 1
	err           error                                      // names the last type that was rejected
}

// objectNumber returns the number of the object that p points to, from 1, or 0 for nil. A struct and its first field
// share an address, so objects are told apart by type as well.
func (e *encoder) objectNumber(p reflect.Value) uint64 {
	if p.IsNil() {
		return 0
	}
	byType := e.objectNumbers[p.UnsafePointer()]
	if byType == nil {
		byType = map[reflect.Type]uint64{}
		e.objectNumbers[p.UnsafePointer()] = byType
	}
	if byType[p.Type()] == 0 {
		e.objects = append(e.objects, p)
		byType[p.Type()] = uint64(len(e.objects))
	}
	return byType[p.Type()]
}

func (e *encoder) uint(n uint64) { e.out = binary.AppendUvarint(e.out, n) }

func (e *encoder) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			e.uint(1)
		} else {
			e.uint(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		e.out = binary.AppendVarint(e.out, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		e.uint(v.Uint())
	case reflect.Float32, reflect.Float64:
		e.uint(math.Float64bits(v.Float()))
	case reflect.String:
		e.uint(uint64(v.Len()))
		e.out = append(e.out, v.String()...)
	case reflect.Pointer:
		e.uint(e.objectNumber(v))
	case reflect.Slice:
		if v.IsNil() {
			e.uint(0)
			return
		}
		e.uint(uint64(v.Len()) + 1)
		for i := range v.Len() {
			e.value(v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			e.value(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			e.value(v.Field(i))
		}
	case reflect.Map:
		e.mapping(v)
	default:
		e.err = fmt.Errorf("values of type %v are not supported in a snapshot", v.Type())
	}
}

// mapping encodes a map in the order of its encoded keys, so that equal graphs have equal snapshots. This does not
// hold for maps with pointers as keys: objects that are first reached as keys get their numbers in the iteration
// order of the map, which may differ between two snapshots of the same graph.
func (e *encoder) mapping(v reflect.Value) {
	if v.IsNil() {
		e.uint(0)
		return
	}
	e.uint(uint64(v.Len()) + 1)
	type entry struct {
		key   []byte // encoded
		value reflect.Value
	}
	var entries []entry
	outBefore := e.out
	for pairs := v.MapRange(); pairs.Next(); {
		e.out = nil
		e.value(pairs.Key())
		entries = append(entries, entry{e.out, pairs.Value()})
	}
	e.out = outBefore
	slices.SortFunc(entries, func(a, b entry) int { return slices.Compare(a.key, b.key) })
	for _, entry := range entries {
		e.out = append(e.out, entry.key...)
		e.value(entry.value)
	}
}
