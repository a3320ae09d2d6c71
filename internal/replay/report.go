package replay

import (
	"irispost/internal/capture"
	"irispost/scheduler"
)

// Report is the result of a replay, or of its part so far.
type Report struct {
	State              State           `json:"-"`
	StateName          string          `json:"state"`
	Reason             string          `json:"why,omitempty"` // such as where the capture is truncated
	Gateway            string          `json:"gateway"`
	Build              string          `json:"build"`
	SamePolicySource   bool            `json:"same_module"` // the capture is of this build's scheduler source
	Records            int64           `json:"records"`
	Decisions          int64           `json:"decisions"`
	Gaps               int             `json:"gaps"`
	Span               scheduler.Time  `json:"span_ns"`
	Classes            []*ClassOutcome `json:"products"`
	Difference         *Difference     `json:"difference,omitempty"`
	DifferingDecisions int64           `json:"differing"` // number of decisions that differ
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

// Difference is the first decision that differs from the captured one. The fields are encoded to JSON under their own
// names, which must not change.
type Difference struct {
	Record   int64
	At       scheduler.Time // since the scheduler's start
	Captured capture.Decision
	Now      capture.Decision
	Before   []capture.Record // the last records before it
	Job      string           // the first request whose treatment differs; empty: none
	Story    []string         // the story of that request
}
