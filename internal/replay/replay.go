// Package replay feeds a capture to a fresh module and compares what it decides. It does no I/O of its own: records come
// from whoever reads them.
package replay

import (
	"errors"
	"io"

	"irispost/internal/capture"
	"irispost/scheduler"
)

// State is how a replay stands. Only Replay.move changes it.
type State uint8

// The states of a replay, in their order: from Parted on it is over.
const (
	Waiting State = iota // for the module's start
	Running
	Gapped // records are missing; it goes on at the next full state
	Parted // the module decided otherwise than in the capture
	Ended  // the capture was read to its end
	Cut    // the capture stops without its end; all that was there has been replayed
)

func (s State) String() string {
	return [...]string{"waiting", "running", "gapped", "parted", "ended", "cut"}[s]
}

// Product counts a product's jobs by what became of them.
type Product struct {
	Name       string `json:"name"`
	Jobs       int    `json:"jobs"`
	Completed  int    `json:"completed"`
	InGoal     int    `json:"in_goal"`
	Dismissed  int    `json:"dismissed"`
	WrittenOff int    `json:"written_off"`
	Left       int    `json:"left"`
}

// Difference is the first place where the module decided otherwise.
type Difference struct {
	Record   int64
	At       scheduler.Time
	Captured capture.Decision
	Now      capture.Decision
	Before   []capture.Record // the latest records before it
	Job      string           // the first job that is decided on otherwise
	Story    []string         // of that job
}

// Options narrow a replay.
type Options struct {
	Until scheduler.Time // stop there, counted from the module's start; 0: at the end
	Job   string         // keep the story of this job
	Node  string         // and what passed at this node
	All   bool           // go on after a difference: the counts then say how far the module parts, not what would have been
	Keep  int            // records to keep before a difference
}

// Report is what a replay came to.
type Report struct {
	State      State          `json:"-"`
	How        string         `json:"state"`
	Why        string         `json:"why,omitempty"` // of a cut or gap
	Gateway    string         `json:"gateway"`
	Build      string         `json:"build"`
	SameModule bool           `json:"same_module"` // the capture's module has this build's text
	Records    int64          `json:"records"`
	Decisions  int64          `json:"decisions"`
	Gaps       int            `json:"gaps"`
	Span       scheduler.Time `json:"span_ns"`
	Products   []*Product     `json:"products"`
	Difference *Difference    `json:"difference,omitempty"`
	Differing  int64          `json:"differing"` // decisions
	Story      []string       `json:"story,omitempty"`
	from       scheduler.Time
}

// Replay is a replay under way.
type Replay struct {
	opt      Options
	report   Report
	module   *scheduler.Scheduler
	products map[string]*Product
	jobs     map[string]*job
	goals    map[string]scheduler.Time
	before   []capture.Record
	nodes    map[string]string // of executions that are out
	seen     map[string]*seen  // by address
}

// job is what the replay knows of a job that is not over.
type job struct {
	product *Product
	goalBy  scheduler.Time
	story   []string
}

// New begins a replay.
func New(opt Options) *Replay {
	if opt.Keep == 0 {
		opt.Keep = 20
	}
	return &Replay{opt: opt, products: map[string]*Product{}, jobs: map[string]*job{}, goals: map[string]scheduler.Time{},
		nodes: map[string]string{}, seen: map[string]*seen{}}
}

// Run replays all records that next brings, until the end, a difference or a gap.
func Run(next func() (*capture.Record, error), opt Options) (*Report, error) {
	r := New(opt)
	for r.report.State < Parted { // waiting, running or gapped
		rec, err := next()
		switch {
		case errors.Is(err, io.EOF) && r.report.State == Gapped:
			return r.Report(), nil
		case errors.Is(err, io.EOF):
			r.move(Ended, "")
		case errors.Is(err, capture.ErrCut), errors.Is(err, capture.ErrDamaged):
			r.move(Cut, err.Error())
		case err != nil:
			return nil, err
		default:
			if err := r.Feed(rec); err != nil {
				return nil, err
			}
		}
	}
	return r.Report(), nil
}

// move is the one place where the replay changes state.
func (r *Replay) move(to State, why string) {
	r.report.State, r.report.Why = to, why
}
