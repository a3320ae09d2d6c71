// Package snapshot encodes an object graph and decodes an equal one. The graph may hold numbers, strings, slices,
// maps, structs, with their unexported fields, and pointers. Pointers to the same object point to the same object
// after decoding. Functions, channels and interfaces are rejected. Captures hold a snapshot of the scheduler, from
// which a replay starts.
//
// A snapshot starts with the digest of its type (Shape) and ends with a checksum of all preceding bytes. Between them
// are the objects in the order in which the encoder first reaches them. The package does no I/O and owns no state.
package snapshot

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Names maps types ("Type") and fields ("Type.field") to their stored names where these differ from the names in the
// code. Thus a rename in the code does not change the shape, and snapshots that were written before can still be
// read.
type Names map[string]string

// storedName returns the stored name of a type or field, or fallback if it has none of its own.
func (n Names) storedName(name, fallback string) string {
	if stored, renamed := n[name]; renamed {
		return stored
	}
	return fallback
}

// Shape returns a digest of a type and of everything that it reaches. A build can read a snapshot only if the shapes
// are equal.
func Shape(t reflect.Type, names Names) uint64 { return xxhash.Sum64String(shapeText(t, names)) }

// shapeText lists the kinds and stored names of a type and of all types and fields that it reaches, in order.
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
