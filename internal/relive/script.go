// Package relive plays a capture through a real gateway: the captured arrivals and endpoint lists at their times,
// against test nodes on loopback that behave as the captured nodes did. The rules are checked from the sockets, and
// the outcomes are compared by request class: no two runs in real time are the same.
//
// The command irispost replay --live calls Read and Play. A Script is not changed by playing it; a play owns its
// gateway, nodes and client sessions, and ends with Play.
package relive

import (
	"errors"
	"fmt"
	"io"

	"irispost/internal/capture"
	"irispost/scheduler"
)

var errNothingToPlay = errors.New("the capture holds no start and no arrivals to play")

// IncompleteError says that a capture cannot be played, as what was before one of its records is not known.
type IncompleteError struct {
	Kind capture.Kind   // of the record
	At   scheduler.Time // after the start of the scheduler, nanoseconds
}

// Error names the record and its time.
func (e *IncompleteError) Error() string {
	seconds := float64(e.At) / float64(scheduler.Second)
	return fmt.Sprintf("the capture has a %v %.3f s after its start, it cannot be played whole", e.Kind, seconds)
}

// Script is what a capture says happened, as far as it can be played.
type Script struct {
	Gateway   string
	Seed      uint64
	Settings  scheduler.Settings
	StartedAt scheduler.Time           // of the captured scheduler
	Captured  map[string]*ClassOutcome // by request class
	events    []event
	nodes     map[string]*nodeBehavior // by captured address
}

// ClassOutcome counts how the requests of a class ended.
type ClassOutcome struct {
	Requests        int `json:"Jobs"`
	WithinObjective int `json:"InGoal"`
	Late            int `json:"Late"`
	Rejected        int `json:"Dismissed"`
	Failed          int `json:"WrittenOff"`
	ClientCancelled int `json:"Left"`
}

// addSuccess counts a request that succeeded.
func (o *ClassOutcome) addSuccess(withinObjective bool) {
	if withinObjective {
		o.WithinObjective++
	} else {
		o.Late++
	}
}

// outcomeOf returns the outcome of a class, which it adds where there is none yet.
func outcomeOf(outcomes map[string]*ClassOutcome, class string) *ClassOutcome {
	if outcomes[class] == nil {
		outcomes[class] = &ClassOutcome{}
	}
	return outcomes[class]
}

// event is something that came to the gateway from outside, at a time after the start. One of the three is set.
type event struct {
	at        scheduler.Time
	arrival   *capture.Record
	cancelled string // the captured name of a request whose client has gone
	list      *capture.Record
}

// Read makes a script of a capture. One that is cut off is played as far as it goes; one with a gap, or that begins
// with a state, gives an *IncompleteError.
func Read(next func() (*capture.Record, error)) (*Script, error) {
	r := &scriptReader{
		script:     &Script{Captured: map[string]*ClassOutcome{}, nodes: map[string]*nodeBehavior{}},
		nodeOf:     map[attemptKey]string{},
		arrivals:   map[string]*capture.Record{},
		objectives: map[string]scheduler.Time{},
	}
	for {
		record, err := next()
		if errors.Is(err, io.EOF) || errors.Is(err, capture.ErrTruncated) {
			break
		}
		if err != nil {
			return nil, err
		}
		if record.Kind == capture.KindStart && r.script.Settings != nil {
			break // a second start of the scheduler: what came before is what is played
		}
		if err := r.add(record); err != nil {
			return nil, err
		}
	}
	if r.script.Settings == nil || len(r.script.events) == 0 {
		return r.script, errNothingToPlay
	}
	return r.script, nil
}

// attemptKey identifies an attempt of a capture.
type attemptKey struct {
	requestID string
	number    int
}

// scriptReader is the state of a script that is being read.
type scriptReader struct {
	script     *Script
	nodeOf     map[attemptKey]string      // address that an attempt was sent to
	arrivals   map[string]*capture.Record // of requests whose client has not gone, by name
	objectives map[string]scheduler.Time  // latency objective by request class
}

// add takes in a record.
func (r *scriptReader) add(record *capture.Record) error {
	at := record.At - r.script.StartedAt
	switch record.Kind {
	case capture.KindHeader:
		r.script.Gateway = record.Name
	case capture.KindStart:
		r.start(record)
	case capture.KindSnapshot, capture.KindGap:
		return &IncompleteError{record.Kind, at}
	case capture.KindEndpointList, capture.KindEndpointUpdate:
		r.script.events = append(r.script.events, event{at: at, list: record})
		for _, node := range record.Nodes {
			r.script.nodes[node.Addr] = &nodeBehavior{windows: map[int64]*window{}}
		}
	case capture.KindSubmitted:
		r.script.events = append(r.script.events, event{at: at, arrival: record})
		r.arrivals[record.Job] = record
		r.outcome(record).Requests++
	case capture.KindClientCancelled:
		r.script.events = append(r.script.events, event{at: at, cancelled: record.Job})
		if arrival := r.arrivals[record.Job]; arrival != nil {
			r.outcome(arrival).ClientCancelled++
			delete(r.arrivals, record.Job)
		}
	case capture.KindAttemptEnded:
		r.attemptEnded(record, at)
	case capture.KindDecided:
		r.decided(record)
	}
	return nil
}

func (r *scriptReader) start(record *capture.Record) {
	r.script.StartedAt = record.At
	r.script.Seed = record.Seed
	r.script.Settings = record.Terms
	for _, class := range requestClasses(record.Terms) {
		r.objectives[class.name] = class.objective
	}
}

// outcome is the outcome of the class of a request that has arrived.
func (r *scriptReader) outcome(arrival *capture.Record) *ClassOutcome {
	return outcomeOf(r.script.Captured, arrival.Product)
}

// attemptEnded takes in the end of an attempt: for its node's behaviour and, where it was served, for its request.
func (r *scriptReader) attemptEnded(record *capture.Record, at scheduler.Time) {
	arrival := r.arrivals[record.Job]
	if arrival == nil {
		return
	}
	if node := r.script.nodes[r.nodeOf[attemptKey{record.Job, record.Number}]]; node != nil {
		node.add(record, at, arrival.Units)
	}
	if record.Final && record.Outcome == scheduler.OutcomeServed {
		latency := record.At - arrival.At
		r.outcome(arrival).addSuccess(latency <= r.objectives[arrival.Product])
	}
}

// decided takes in a decision: where attempts were sent, and which requests were answered without success.
func (r *scriptReader) decided(record *capture.Record) {
	for _, sent := range record.Decision.Sent {
		r.nodeOf[attemptKey{sent.Job, sent.Number}] = sent.Node
	}
	for _, ended := range record.Decision.Ended {
		arrival := r.arrivals[ended.Job]
		if arrival == nil {
			continue
		}
		if ended.State == scheduler.RequestRejected {
			r.outcome(arrival).Rejected++
		} else {
			r.outcome(arrival).Failed++
		}
	}
}
