// Package replay feeds a capture to a fresh scheduler and compares what it decides. Command-line tools and tests call
// it. It does no I/O of its own: records come from whoever reads them, one goroutine feeds them, and a Replay owns the
// scheduler that it feeds.
package replay

import (
	"cmp"
	"errors"
	"io"
	"slices"

	"irispost/internal/capture"
	"irispost/scheduler"
)

// State is how a replay stands. Only Replay.move changes it.
type State uint8

// The states of a replay, in their order: from Parted on it is over.
const (
	Waiting State = iota // for the scheduler's start
	Running
	Gapped    // records are missing; it goes on at the next snapshot
	Diverged  // the scheduler decided otherwise than in the capture
	Ended     // the capture was read to its end
	Truncated // the capture stops without its end; all that was there has been replayed
)

var stateNames = [...]string{"waiting", "running", "gapped", "parted", "ended", "cut"}

// String is the name of a state, as reports have it.
func (s State) String() string { return stateNames[s] }

// defaultKeep is how many records before a difference are kept where the options do not say.
const defaultKeep = 20

// Options select how far a replay goes and what it reports.
type Options struct {
	Until     scheduler.Time // stop at this time after the scheduler's start; 0: replay to the end
	RequestID string         // report the story of this request
	Node      string         // report the attempts at the node with this address

	// ContinueAfterDifference replays to the end of the capture. The counts then show how many decisions differ, not what
	// would have happened: the captured outcomes after the first difference belong to other decisions.
	ContinueAfterDifference bool

	KeepRecords int // records to report from before a difference; 0: 20
}

// Replay is a replay under way.
type Replay struct {
	opt       Options
	report    Report
	start     scheduler.Time           // of the scheduler, or of its first snapshot; times in reports count from it
	scheduler *scheduler.Scheduler     // nil: until the next start or snapshot
	classes   map[string]*ClassOutcome // by name
	requests  map[string]*request      // that have no final answer yet, by ID
	goals     map[string]scheduler.Time
	before    []capture.Record    // the latest records
	nodes     map[attempt]string  // addresses of attempts in flight
	observed  map[string]*observe // nodes, by address
}

// request is what the replay knows of a request without its final answer.
type request struct {
	class     *ClassOutcome
	objective scheduler.Time // when its latency objective is missed
	story     []string
}

// attempt names an attempt.
type attempt struct {
	request string
	number  int
}

// New begins a replay.
func New(opt Options) *Replay {
	if opt.KeepRecords == 0 {
		opt.KeepRecords = defaultKeep
	}
	return &Replay{
		opt:      opt,
		classes:  map[string]*ClassOutcome{},
		requests: map[string]*request{},
		goals:    map[string]scheduler.Time{},
		nodes:    map[attempt]string{},
		observed: map[string]*observe{},
	}
}

// Run replays all records that next brings, until the end, a difference, or a capture that cannot be read on. Other
// errors of next, and of a snapshot that cannot be restored, are returned.
func Run(next func() (*capture.Record, error), opt Options) (*Report, error) {
	r := New(opt)
	for r.report.State < Diverged { // waiting, running or gapped
		record, err := next()
		switch {
		case errors.Is(err, io.EOF) && r.report.State == Gapped:
			return r.Report(), nil
		case errors.Is(err, io.EOF):
			r.move(Ended, "")
		case errors.Is(err, capture.ErrTruncated), errors.Is(err, capture.ErrCorrupt):
			r.move(Truncated, err.Error())
		case err != nil:
			return nil, err
		default:
			if err := r.Feed(record); err != nil {
				return nil, err
			}
		}
	}
	return r.Report(), nil
}

// move is the one place where the replay changes state.
func (r *Replay) move(to State, why string) {
	r.report.State = to
	r.report.Reason = why
}

// Report is what the replay has come to. It may be called while it goes on.
func (r *Replay) Report() *Report {
	r.report.StateName = r.report.State.String()
	slices.SortFunc(r.report.Classes, func(a, b *ClassOutcome) int { return cmp.Compare(a.Name, b.Name) })
	return &r.report
}
