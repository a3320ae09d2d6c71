package front

import (
	"log/slog"
	"path"
	"slices"
	"time"

	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// OperationKind is the kind of an operation in the rules that choose its request class.
type OperationKind string

// The kinds of operations, by their names in the configuration.
const (
	Read   OperationKind = "read"   // reads bytes of a file
	Write  OperationKind = "write"  // writes bytes of a file
	Lookup OperationKind = "look"   // reads a record, or lists a directory
	Change OperationKind = "change" // changes a record
)

// RequestClass is a request class as far as the front end needs it.
type RequestClass struct {
	Name        string
	Idempotency uint8         // idempotency, as in node.Call
	Timeout     time.Duration // from a client's request to its deadline
	Ordered     bool          // requests with one ordering key run one at a time
}

// Rule chooses the request class of some operations on a volume. The first rule that matches counts.
type Rule struct {
	Kinds      []OperationKind
	Match      string // a pattern (package path) for the path in the volume, or for its last name; empty: all
	LargerThan uint64 // only files of more bytes; 0: all
	Class      *RequestClass
}

func (r *Rule) matches(kind OperationKind, file layout.Path, size uint64) bool {
	if r.LargerThan != 0 && size <= r.LargerThan {
		return false
	}
	return r.matchesName(file) && slices.Contains(r.Kinds, kind)
}

// matchesName ignores malformed patterns, which the configuration does not let through.
func (r *Rule) matchesName(file layout.Path) bool {
	if r.Match == "" {
		return true
	}
	if matched, _ := path.Match(r.Match, file.Rel); matched {
		return true
	}
	matched, _ := path.Match(r.Match, file.Name())
	return matched
}

// Volume is a customer's tree of files.
type Volume struct {
	gateway.Volume
	Name  string
	Rules []Rule // never empty; the last ones match everything
}

// ClassOf returns the request class of an operation on a file of a size in bytes.
func (v *Volume) ClassOf(kind OperationKind, file layout.Path, size uint64) *RequestClass {
	for i := range v.Rules {
		if v.Rules[i].matches(kind, file, size) {
			return v.Rules[i].Class
		}
	}
	return v.Rules[len(v.Rules)-1].Class
}

// Units says how many units a request of some bytes counts for.
type Units struct {
	Bytes   float64 // of one unit
	Minimum float64 // units of the smallest request
}

// Of returns the units of a number of bytes.
func (u Units) Of(bytes int) float64 { return max(u.Minimum, float64(bytes)/u.Bytes) }

// Limits bound what clients may hold.
type Limits struct {
	Connections int
	Outstanding int // unanswered requests of a connection; more wait at the socket
	Handles     int // open handles of a connection
	Entries     int // of one directory's listing
	Wire        sftp.Limits
}

// Options are what a front end is started with.
type Options struct {
	Name       string // of the gateway, unique in the installation
	Loop       *gateway.Loop
	Volumes    map[string]*Volume // by name
	Shards     int
	ExtentSize uint32 // bytes of an extent of a new file
	Units      Units
	Limits     Limits
	Log        *slog.Logger
}
