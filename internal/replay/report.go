package replay

import (
	"irispost/internal/capture"
	"irispost/scheduler"
)

// Report is what a replay came to.
type Report struct {
	State      State          `json:"-"`
	How        string         `json:"state"`
	Why        string         `json:"why,omitempty"` // of a cut or gap
	Gateway    string         `json:"gateway"`
	Build      string         `json:"build"`
	SameModule bool           `json:"same_module"` // the capture's scheduler has this build's source text
	Records    int64          `json:"records"`
	Decisions  int64          `json:"decisions"`
	Gaps       int            `json:"gaps"`
	Span       scheduler.Time `json:"span_ns"`
	Products   []*Product     `json:"products"`
	Difference *Difference    `json:"difference,omitempty"`
	Differing  int64          `json:"differing"` // decisions
	Story      []string       `json:"story,omitempty"`
}

// Same tells whether all that could be replayed was decided as in the capture.
func (r *Report) Same() bool { return r.Difference == nil && r.Decisions > 0 }

// Product counts a request class's requests by their results.
type Product struct {
	Name       string `json:"name"`
	Jobs       int    `json:"jobs"`
	Completed  int    `json:"completed"`
	InGoal     int    `json:"in_goal"`
	Dismissed  int    `json:"dismissed"`
	WrittenOff int    `json:"written_off"`
	Left       int    `json:"left"`
}

// Difference is the first place where the scheduler decided otherwise. Its JSON names are those of the fields.
type Difference struct {
	Record   int64
	At       scheduler.Time // since the scheduler's start
	Captured capture.Decision
	Now      capture.Decision
	Before   []capture.Record // the latest records before it
	Job      string           // the first request that is decided on otherwise
	Story    []string         // of that request
}
