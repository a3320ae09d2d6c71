package xds

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxNamedErrors limits how many errors a rejection lists.
const maxNamedErrors = 10

// ValidationErrors lists everything that is invalid in a resource.
type ValidationErrors []string

// Error implements error.
func (e ValidationErrors) Error() string {
	if len(e) > maxNamedErrors {
		return strings.Join(e[:maxNamedErrors], "; ") + fmt.Sprintf("; and %d more", len(e)-maxNamedErrors)
	}
	return strings.Join(e, "; ")
}

// fieldSupport says how a field of a message is handled.
type fieldSupport uint8

const (
	unsupported fieldSupport = iota // it requests unsupported behaviour: setting it is an error
	read                            // its value is used
	ignored                         // it may be set, but has no effect: setting it gives a note
)

// resourceReader collects errors and notes while a resource is read.
type resourceReader struct {
	errors ValidationErrors
	notes  []string
}

// addError adds an error; at is its place in the resource.
func (r *resourceReader) addError(at, format string, args ...any) {
	r.errors = append(r.errors, at+": "+fmt.Sprintf(format, args...))
}

// err returns all errors as one, or nil if there are none.
func (r *resourceReader) err() error {
	if len(r.errors) > 0 {
		return r.errors
	}
	return nil
}

// checkFields checks all fields that are set in a message, in order of their names. Fields that are not supported,
// and fields that the compiled protobuf definitions do not have, are errors.
func (r *resourceReader) checkFields(at string, message proto.Message, supported map[protoreflect.Name]fieldSupport) {
	ref := message.ProtoReflect()
	var names []string
	ref.Range(func(f protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		names = append(names, string(f.Name()))
		return true
	})
	slices.Sort(names) // Range iterates in undefined order
	for _, name := range names {
		switch supported[protoreflect.Name(name)] {
		case unsupported:
			r.addError(at, "%s is not supported", name)
		case ignored:
			note := at + ": " + name + " has no effect"
			if !slices.Contains(r.notes, note) {
				r.notes = append(r.notes, note)
			}
		}
	}
	if len(ref.GetUnknown()) > 0 {
		r.addError(at, "it has an unknown field")
	}
}
