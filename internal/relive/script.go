// Package relive plays a capture through a real gateway in real time. The captured requests and endpoint lists arrive
// at their captured times, and test nodes on loopback imitate the behavior of the captured nodes. The rules of
// package audit are checked from events on the sockets. As no two runs in real time are the same, outcomes are
// compared only as counts by request class.
//
// The command irispost replay --live calls Read and Play. Play does not modify the Script. It starts a gateway, test
// nodes and client sessions, and ends them before it returns.
package relive

import (
	"errors"
	"fmt"
	"io"

	"irispost/internal/capture"
	"irispost/scheduler"
)

var errNothingToPlay = errors.New("the capture contains no start of the scheduler or no events to play")

// IncompleteError reports that a capture cannot be played because what happened before one of its records is unknown.
type IncompleteError struct {
	Kind capture.Kind   // of the record: a snapshot or a gap
	At   scheduler.Time // of the record, in nanoseconds after the start of the scheduler
}

// Error returns a message with the kind of the record and its time.
func (e *IncompleteError) Error() string {
	seconds := float64(e.At) / float64(scheduler.Second)
	return fmt.Sprintf("the capture is incomplete and cannot be played: it contains a %v %.3f s after its start",
		e.Kind, seconds)
}

// Script contains the events of a capture that can be played, and the captured outcomes to compare with.
type Script struct {
	Gateway   string
	Seed      uint64
	Settings  scheduler.Settings
	StartedAt scheduler.Time           // start of the captured scheduler
	Captured  map[string]*ClassOutcome // by request class
	events    []event
	nodes     map[string]*nodeBehavior // by captured address
}

// ClassOutcome counts the requests of a class by how they ended.
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

// outcomeOf returns the outcome of a class. It adds one to the map if there is none yet.
func outcomeOf(outcomes map[string]*ClassOutcome, class string) *ClassOutcome {
	if outcomes[class] == nil {
		outcomes[class] = &ClassOutcome{}
	}
	return outcomes[class]
}

// event is an input of the gateway at a time after the start. One of arrival, cancelled and list is set.
type event struct {
	at        scheduler.Time
	arrival   *capture.Record
	cancelled string // captured ID of a request whose client cancelled it
	list      *capture.Record
}

// Read builds a script from the records of a capture. Of a truncated capture, the complete records are played. A
// capture with a gap or a snapshot is rejected with an *IncompleteError.
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
			break // only the events before a second start of the scheduler are played
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

// scriptReader is the state of reading a script.
type scriptReader struct {
	script     *Script
	nodeOf     map[attemptKey]string      // address to which an attempt was sent
	arrivals   map[string]*capture.Record // of requests that their clients have not cancelled, by request ID
	objectives map[string]scheduler.Time  // latency objective by request class
}

// add adds a record to the script.
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

// outcome returns the captured outcome of the class of a request.
func (r *scriptReader) outcome(arrival *capture.Record) *ClassOutcome {
	return outcomeOf(r.script.Captured, arrival.Product)
}

// attemptEnded adds the end of an attempt to the behavior of its node and, if the request succeeded with it, to the
// outcome of the request's class.
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

// decided adds a decision: the nodes to which attempts were sent, and the requests that were rejected or failed.
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
