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

// OperationKind is the kind of an operation. The rules that choose the request class match on it.
type OperationKind string

// The kinds of operations, with their names in the configuration.
const (
	Read   OperationKind = "read"   // reads bytes of a file
	Write  OperationKind = "write"  // writes bytes of a file
	Lookup OperationKind = "look"   // reads a record, or lists a directory
	Change OperationKind = "change" // changes a record
)

// RequestClass holds the settings of a request class that the front end uses.
type RequestClass struct {
	Name        string
	Idempotency uint8         // as in node.Call
	Timeout     time.Duration // from the arrival of a client's request to its deadline
	Ordered     bool          // requests with the same ordering key run one at a time
}

// Rule assigns a request class to matching operations on a volume. The first matching rule applies.
type Rule struct {
	Kinds      []OperationKind
	Match      string // a pattern of path.Match for the path within the volume or its last element; empty: all
	LargerThan uint64 // only files with more bytes than this; 0: all
	Class      *RequestClass
}

func (r *Rule) matches(kind OperationKind, file layout.Path, size uint64) bool {
	if r.LargerThan != 0 && size <= r.LargerThan {
		return false
	}
	return r.matchesName(file) && slices.Contains(r.Kinds, kind)
}

// matchesName ignores malformed patterns: the configuration parser rejects them.
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

// Volume is a customer's file tree.
type Volume struct {
	gateway.Volume
	Name  string
	Rules []Rule // never empty; the last rules match every operation
}

// ClassOf returns the request class of an operation on a file of size bytes.
func (v *Volume) ClassOf(kind OperationKind, file layout.Path, size uint64) *RequestClass {
	for i := range v.Rules {
		if v.Rules[i].matches(kind, file, size) {
			return v.Rules[i].Class
		}
	}
	return v.Rules[len(v.Rules)-1].Class
}

// Units defines the units that a request is charged, by its bytes.
type Units struct {
	Bytes   float64 // per unit
	Minimum float64 // units of the smallest request
}

// Of returns the units of a number of bytes.
func (u Units) Of(bytes int) float64 { return max(u.Minimum, float64(bytes)/u.Bytes) }

// Limits bound the resources that clients can use.
type Limits struct {
	Connections int
	Outstanding int // unanswered requests per connection; beyond that the connection is not read
	Handles     int // open handles per connection
	Entries     int // entries in a directory listing
	Wire        sftp.Limits
}

// Options are the options of Start.
type Options struct {
	Name       string // of the gateway, unique in the installation
	Loop       *gateway.Loop
	Volumes    map[string]*Volume // by name
	Shards     int
	ExtentSize uint32 // extent size of new files, in bytes
	Units      Units
	Limits     Limits
	Log        *slog.Logger
}
