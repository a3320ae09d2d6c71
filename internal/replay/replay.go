// Package replay feeds a capture to a new scheduler and compares its decisions with the captured ones. Command-line
// tools and tests use it. The package does no I/O: the caller reads the records and feeds them from one goroutine. A
// Replay owns its scheduler.
package replay

import (
	"cmp"
	"errors"
	"io"
	"slices"

	"irispost/internal/capture"
	"irispost/scheduler"
)

// State is the state of a replay. Only Replay.setState changes it.
type State uint8

// The states of a replay. From Diverged on, the replay is over; Run relies on this order.
const (
	Waiting State = iota // for the scheduler's start or a snapshot
	Running
	Gapped    // records are missing; the replay continues at the next snapshot
	Diverged  // a decision differs from the captured one
	Ended     // the capture was replayed to its end or to Options.Until
	Truncated // the capture is truncated or corrupt; all records before that point were replayed
)

var stateNames = [...]string{"waiting", "running", "gapped", "parted", "ended", "cut"}

// String returns the name of the state, as reports contain it.
func (s State) String() string { return stateNames[s] }

// defaultKeepRecords is the value of Options.KeepRecords if it is 0.
const defaultKeepRecords = 20

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

// Replay is a replay in progress.
type Replay struct {
	options      Options
	report       Report
	start        scheduler.Time           // of the scheduler or its first snapshot; reported times are relative to it
	scheduler    *scheduler.Scheduler     // nil until the next start or snapshot
	classes      map[string]*ClassOutcome // by name
	requests     map[string]*request      // without a final answer, by ID
	objectives   map[string]scheduler.Time
	recent       []capture.Record      // the last records fed
	attemptNodes map[attempt]string    // node addresses of attempts in flight
	observed     map[string]*nodeStats // by address
}

// request is a request without a final answer.
type request struct {
	class       *ClassOutcome
	objectiveBy scheduler.Time // latest answer within its latency objective
	story       []string
}

// attempt identifies an attempt.
type attempt struct {
	request string
	number  int
}

// New returns a replay that waits for its first record.
func New(options Options) *Replay {
	if options.KeepRecords == 0 {
		options.KeepRecords = defaultKeepRecords
	}
	return &Replay{
		options:      options,
		classes:      map[string]*ClassOutcome{},
		requests:     map[string]*request{},
		objectives:   map[string]scheduler.Time{},
		attemptNodes: map[attempt]string{},
		observed:     map[string]*nodeStats{},
	}
}

// Run replays the records that next returns, until the end of the capture, the first difference, or a point at which
// the capture is truncated or corrupt. Other errors of next are returned, as are errors in restoring a snapshot.
func Run(next func() (*capture.Record, error), options Options) (*Report, error) {
	r := New(options)
	for r.report.State < Diverged { // Waiting, Running or Gapped
		record, err := next()
		switch {
		case errors.Is(err, io.EOF) && r.report.State == Gapped:
			return r.Report(), nil
		case errors.Is(err, io.EOF):
			r.setState(Ended, "")
		case errors.Is(err, capture.ErrTruncated), errors.Is(err, capture.ErrCorrupt):
			r.setState(Truncated, err.Error())
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

// setState changes the state and the reason that is reported for it. Nothing else changes the state.
func (r *Replay) setState(to State, reason string) {
	r.report.State = to
	r.report.Reason = reason
}

// Report returns the report. It may be called before the replay is over.
func (r *Replay) Report() *Report {
	r.report.StateName = r.report.State.String()
	slices.SortFunc(r.report.Classes, func(a, b *ClassOutcome) int { return cmp.Compare(a.Name, b.Name) })
	return &r.report
}
