// Package snapshot encodes a graph of objects and decodes an equal one: numbers, strings, slices, maps, structs and the
// pointers between them, exported or not. Pointers to one object are pointers to one object again. Functions, channels
// and interfaces are rejected. Captures hold a snapshot of the scheduler, from which a replay begins.
//
// A snapshot begins with the digest of its type (Shape) and ends with a checksum of all before it; between them are the
// objects in the order in which they are first met. The package is pure and owns no state.
package snapshot

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Names gives the stored names of types ("Type") and of their fields ("Type.field") that are called otherwise in code.
// So a rename in code changes no shape, and snapshots that were written before it are still read.
type Names map[string]string

// storedName is the name in snapshots of one in code.
func (n Names) storedName(name, fallback string) string {
	if stored, renamed := n[name]; renamed {
		return stored
	}
	return fallback
}

// Shape is a digest of a type with all that it reaches: a snapshot is read only by a build with the same shape.
func Shape(t reflect.Type, names Names) uint64 { return xxhash.Sum64String(shapeText(t, names)) }

// shapeText lists the kinds and stored names of a type and of all types and fields that it reaches, in their order.
func shapeText(t reflect.Type, names Names) string {
	var text strings.Builder
	seen := map[reflect.Type]bool{}
	var walk func(reflect.Type)
	walk = func(t reflect.Type) {
		fmt.Fprintf(&text, "%s %s;", t.Kind(), names.storedName(t.Name(), t.Name()))
		if seen[t] {
			return
		}
		seen[t] = true
		switch t.Kind() {
		case reflect.Struct:
			for i := range t.NumField() {
				field := t.Field(i)
				fmt.Fprintf(&text, "%s:", names.storedName(t.Name()+"."+field.Name, field.Name))
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
