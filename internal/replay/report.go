package replay

import (
	"irispost/internal/capture"
	"irispost/scheduler"
)

// Report is what a replay came to.
type Report struct {
	State              State           `json:"-"`
	StateName          string          `json:"state"`
	Reason             string          `json:"why,omitempty"` // of a cut or gap
	Gateway            string          `json:"gateway"`
	Build              string          `json:"build"`
	SamePolicySource   bool            `json:"same_module"` // the capture's scheduler has this build's source text
	Records            int64           `json:"records"`
	Decisions          int64           `json:"decisions"`
	Gaps               int             `json:"gaps"`
	Span               scheduler.Time  `json:"span_ns"`
	Classes            []*ClassOutcome `json:"products"`
	Difference         *Difference     `json:"difference,omitempty"`
	DifferingDecisions int64           `json:"differing"` // decisions
	Story              []string        `json:"story,omitempty"`
}

// Matches reports whether there were decisions to compare and all of them equal the captured ones.
func (r *Report) Matches() bool { return r.Difference == nil && r.Decisions > 0 }

// ClassOutcome counts the requests of a class by how they ended.
type ClassOutcome struct {
	Name            string `json:"name"`
	Requests        int    `json:"jobs"`
	Succeeded       int    `json:"completed"`
	WithinObjective int    `json:"in_goal"`
	Rejected        int    `json:"dismissed"`
	Failed          int    `json:"written_off"`
	ClientCancelled int    `json:"left"`
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
