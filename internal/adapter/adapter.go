// Package adapter connects the scheduler to the operators' simulator, which runs several gateway instances: it reads
// batches of events, turns each event into a call to the scheduler of its instance, and writes the decisions as
// actions. It is used by command adapter, and by the capture command to import a tap file of the simulator.
//
// The instances share no state. The package makes no scheduling decisions, takes the time only from the batches, and
// does no I/O except on the reader and writer that it is given.
package adapter

import (
	"errors"
	"fmt"
	"io"

	"irispost/internal/wire"
	"irispost/scheduler"
)

// Run serves the simulator until its input ends. tapFor returns the tap of an instance, or nil for none; it may be
// nil.
func Run(in io.Reader, out io.Writer, tapFor func(instance int64) Tap) error {
	a := adapter{in: wire.NewReader(in), out: wire.NewWriter(out), instances: map[int64]*instance{}, tapFor: tapFor}
	return a.run()
}

// adapter hosts the gateway instances that the simulator assigns to one process.
type adapter struct {
	in        *wire.Reader
	out       *wire.Writer
	instances map[int64]*instance
	tapFor    func(instance int64) Tap // nil: no instance has a tap
	batch     []*instance              // instances with events in the current batch, in order of their first event
}

// run reads and answers batches until the input ends.
func (a *adapter) run() error {
	for {
		now, err := a.readBatchStart()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.readEvents(now); err != nil {
			return err
		}
		for _, i := range a.batch {
			i.inBatch = false
			if i.scheduler != nil || i.failure != "" {
				a.decide(i, now)
			}
		}
		a.batch = a.batch[:0]
		if err := a.out.Flush(); err != nil {
			return err
		}
	}
}

// readBatchStart reads the first line of a batch and returns the time in it. It returns io.EOF at the end of the
// input.
func (a *adapter) readBatchStart() (scheduler.Time, error) {
	fields, err := a.in.Next()
	if err != nil {
		return 0, err
	}
	name := string(fields.Bytes("message"))
	now := fields.Time("clock")
	if fields.Err != nil {
		return 0, fmt.Errorf("line %d: a batch must begin with MARK and the clock, got %q: %w", a.in.Line, name, fields.Err)
	}
	if name != lineBatchStart {
		return 0, fmt.Errorf("line %d: a batch must begin with MARK and the clock, got %q", a.in.Line, name)
	}
	return now, nil
}

// readEvents reads the events of a batch and passes each to its instance.
func (a *adapter) readEvents(now scheduler.Time) error {
	for {
		fields, err := a.in.Next()
		if err != nil {
			return fmt.Errorf("line %d: input ended inside a batch: %w", a.in.Line, err)
		}
		name := string(fields.Bytes("message"))
		if name == lineBatchEnd {
			return nil
		}
		if !isEvent(name) {
			return fmt.Errorf("line %d: unknown event %q", a.in.Line, name)
		}
		line := a.in.Line
		number := fields.Int("gateway_id")
		if fields.Err == nil {
			a.handle(name, number, now, &fields)
		}
		if fields.Err != nil {
			return fmt.Errorf("line %d: %s: %w", line, name, fields.Err)
		}
	}
}

// instanceOf returns the instance with a number, which it creates if needed, and marks it as having an event in the
// current batch.
func (a *adapter) instanceOf(number int64) *instance {
	i := a.instances[number]
	if i == nil {
		i = &instance{number: number}
		if a.tapFor != nil {
			i.tap = a.tapFor(number)
		}
		a.instances[number] = i
	}
	if !i.inBatch {
		i.inBatch = true
		a.batch = append(a.batch, i)
	}
	return i
}

// handle passes an event to its instance. Parse errors are left in fields.Err.
func (a *adapter) handle(name string, number int64, now scheduler.Time, fields *wire.Fields) {
	i := a.instanceOf(number)
	defer i.recoverPanic()
	if name == eventBackendsChanged {
		a.backendsChanged(i, now, fields)
		return
	}
	i.handle(name, now, fields)
}
