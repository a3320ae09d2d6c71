// Package adapter lets the scheduler drive the operators' bench: it reads batches of events, turns each into a call
// of its instance's scheduler, and writes the decisions as actions. Command adapter calls it, and the capture command
// to import a tap file of the bench.
//
// Its instances share no state. It decides nothing, knows no time but that of a batch, and does no I/O but on the
// reader and writer that it is given.
package adapter

import (
	"errors"
	"fmt"
	"io"

	"irispost/internal/wire"
	"irispost/scheduler"
)

// Run serves the bench until its input ends. tapFor, where it is given, returns the tap of an instance, or nil.
func Run(in io.Reader, out io.Writer, tapFor func(instance int64) Tap) error {
	a := adapter{in: wire.NewReader(in), out: wire.NewWriter(out), instances: map[int64]*instance{}, tapFor: tapFor}
	return a.run()
}

// adapter hosts the instances of one process of the bench.
type adapter struct {
	in        *wire.Reader
	out       *wire.Writer
	instances map[int64]*instance
	tapFor    func(instance int64) Tap // nil: no instance is observed
	batch     []*instance              // those with an event in this batch, in the order of their first
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

// readBatchStart reads the line that begins a batch and returns its clock. The error is io.EOF at the end of the input.
func (a *adapter) readBatchStart() (scheduler.Time, error) {
	fields, err := a.in.Next()
	if err != nil {
		return 0, err
	}
	name := string(fields.Bytes("message"))
	now := fields.Time("clock")
	if fields.Err != nil {
		return 0, fmt.Errorf("line %d: a batch begins with MARK and the clock, not with %q: %w", a.in.Line, name, fields.Err)
	}
	if name != lineBatchStart {
		return 0, fmt.Errorf("line %d: a batch begins with MARK and the clock, not with %q", a.in.Line, name)
	}
	return now, nil
}

// readEvents reads the events of a batch and hands each to its instance.
func (a *adapter) readEvents(now scheduler.Time) error {
	for {
		fields, err := a.in.Next()
		if err != nil {
			return fmt.Errorf("line %d: input ends inside a batch: %w", a.in.Line, err)
		}
		name := string(fields.Bytes("message"))
		if name == lineBatchEnd {
			return nil
		}
		if !isEvent(name) {
			return fmt.Errorf("line %d: no such event: %q", a.in.Line, name)
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

// instanceOf returns the instance of a number and notes that it has an event in this batch.
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

// handle hands an event to its instance. Errors of the line are left in the fields.
func (a *adapter) handle(name string, number int64, now scheduler.Time, fields *wire.Fields) {
	i := a.instanceOf(number)
	defer i.recoverPanic()
	if name == eventBackendsChanged {
		a.backendsChanged(i, now, fields)
		return
	}
	i.handle(name, now, fields)
}
