package xds

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxNamedErrors is how many errors are named in one rejection.
const maxNamedErrors = 10

// ValidationErrors are all that is wrong with a resource.
type ValidationErrors []string

// Error implements error.
func (e ValidationErrors) Error() string {
	if len(e) > maxNamedErrors {
		return strings.Join(e[:maxNamedErrors], "; ") + fmt.Sprintf("; and %d more", len(e)-maxNamedErrors)
	}
	return strings.Join(e, "; ")
}

// support is what becomes of a field.
type support uint8

const (
	unsupported support = iota // it asks for something that is not done here: an error
	read                       // it is read
	ignored                    // it may be set, and has no effect here: a note
)

// reading collects the errors and notes of a resource while that is read.
type reading struct {
	errors ValidationErrors
	notes  []string
}

// addError adds an error. at says where in the resource it is.
func (r *reading) addError(at, format string, args ...any) {
	r.errors = append(r.errors, at+": "+fmt.Sprintf(format, args...))
}

// err returns the errors as one; nil: there are none.
func (r *reading) err() error {
	if len(r.errors) > 0 {
		return r.errors
	}
	return nil
}

// fields goes over all fields that are set, in order of their names. Those without support, and those that this build's
// protocol files don't know, are errors.
func (r *reading) fields(at string, message proto.Message, supported map[protoreflect.Name]support) {
	ref := message.ProtoReflect()
	var names []string
	ref.Range(func(f protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		names = append(names, string(f.Name()))
		return true
	})
	slices.Sort(names) // Range has no order
	for _, name := range names {
		switch supported[protoreflect.Name(name)] {
		case unsupported:
			r.addError(at, "%s is not supported", name)
		case ignored:
			note := at + ": " + name + " has no effect here"
			if !slices.Contains(r.notes, note) {
				r.notes = append(r.notes, note)
			}
		}
	}
	if len(ref.GetUnknown()) > 0 {
		r.addError(at, "it has a field that is not known here")
	}
}
