// Package adapter lets the decision module drive the bench: it reads batches of events, turns each into a call of its
// gateway, and writes what the gateways decide. Who imports a tap of the bench listens to what one gateway is told.
package adapter

import (
	"fmt"
	"io"

	"irispost/internal/endpoint"
	"irispost/internal/wire"
	"irispost/scheduler"
)

// Tap is told all that a gateway's module is told, and what it decides, in the same order.
type Tap interface {
	Start(now scheduler.Time, seed uint64, terms scheduler.Settings)
	EndpointUpdate(now scheduler.Time, l endpoint.List, whole bool)
	EndpointListFailed(now scheduler.Time, silent bool)
	SettingsChanged(now scheduler.Time, terms scheduler.Settings)
	Allocated(now scheduler.Time, addr string, born scheduler.Time, units float64, till scheduler.Time)
	Submitted(now scheduler.Time, j *scheduler.Request, volume int64, plan, product string, hosts float64, keyed bool)
	StreamStarted(now scheduler.Time, job string, number int)
	AttemptEnded(now scheduler.Time, job string, number int, o scheduler.Outcome, took scheduler.Time, final bool, others float64, inflight int,
		latency scheduler.Time)
	ClientCancelled(now scheduler.Time, job string)
	Decided(now scheduler.Time, d *scheduler.Decision)
}

// Run serves the bench until its input ends. listen, where it is given, names the tap of a gateway, or nil.
func Run(in io.Reader, out io.Writer, listen func(number int64) Tap) error {
	a := adapter{in: wire.NewReader(in), out: wire.NewWriter(out), gateways: map[int64]*instance{}, listen: listen}
	return a.run()
}

// adapter hosts the instances. They share nothing but this loop.
type adapter struct {
	in       *wire.Reader
	out      *wire.Writer
	gateways map[int64]*instance
	listen   func(number int64) Tap // nil: nobody listens
	batch    []*instance            // those with an event in this batch, in the order of their first
}

// instance is one gateway.
type instance struct {
	number  int64
	gateway *scheduler.Scheduler
	inBatch bool
	wakeAt  scheduler.Time // of the earliest alarm set; 0 for none
	failed  string
	tap     Tap // nil: nobody listens
}

func (a *adapter) run() error {
	for {
		f, err := a.in.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		name := string(f.Bytes("message"))
		now := f.Time("clock")
		if name != "MARK" || f.Err != nil {
			return fmt.Errorf("line %d: a batch begins with MARK and the clock, not with %q (%v)", a.in.Line, name, f.Err)
		}
		if err := a.events(now); err != nil {
			return err
		}
		for _, i := range a.batch {
			i.inBatch = false
			if i.gateway != nil || i.failed != "" {
				a.decide(i, now)
			}
		}
		a.batch = a.batch[:0]
		if err := a.out.Flush(); err != nil {
			return err
		}
	}
}

// events reads the events of a batch.
func (a *adapter) events(now scheduler.Time) error {
	for {
		f, err := a.in.Next()
		if err != nil {
			return fmt.Errorf("line %d: input ends inside a batch: %w", a.in.Line, err)
		}
		switch name := string(f.Bytes("message")); name {
		case "EOF_BATCH":
			return nil
		case "INIT", "DOWN", "BACKENDS_CHANGED", "REQ", "ACCEPTED", "ANSWER", "WITHDRAWN", "RING", "ECHO", "PEER", "AGREED", "LENT":
			line := a.in.Line
			number := f.Int("gateway_id")
			if f.Err == nil {
				a.event(name, number, now, &f)
			}
			if f.Err != nil {
				return fmt.Errorf("line %d: %s: %w", line, name, f.Err)
			}
		default:
			return fmt.Errorf("line %d: no such event: %q", a.in.Line, name)
		}
	}
}

// event turns an event into a call. A panic of the module becomes a fault of its instance.
func (a *adapter) event(name string, number int64, now scheduler.Time, f *wire.Fields) {
	i := a.gateways[number]
	if i == nil {
		i = &instance{number: number}
		if a.listen != nil {
			i.tap = a.listen(number)
		}
		a.gateways[number] = i
	}
	if !i.inBatch {
		i.inBatch = true
		a.batch = append(a.batch, i)
	}
	defer i.catch()
	switch name {
	case "INIT":
		seed := f.Seed("entropy")
		terms := wire.ReadSettings(f)
		if f.Err == nil {
			if i.tap != nil {
				i.tap.Start(now, seed, terms)
			}
			i.gateway, i.wakeAt = scheduler.New(now, seed, terms), 0
		}
		return
	case "DOWN":
		i.gateway, i.wakeAt = nil, 0
		return
	case "BACKENDS_CHANGED":
		a.list(i, now, f)
		return
	}
	g := i.gateway
	if g == nil {
		return // it was killed: its calls are void
	}
	switch name {
	case "REQ":
		j := &scheduler.Request{ID: f.Text("tid")}
		f.Skip() // repeat: the module tells by the time that is left
		hosts := f.Number("n_hosts")
		volume := f.Int("disk")
		j.Units = f.Number("quota_units")
		j.Write = f.Bool("update")
		plan := f.Text("tier")
		j.Deadline = f.Time("deadline_ms")
		keyed := false
		j.Key, keyed = f.Key("extent")
		product := f.Text("profile")
		j.Shard = int(f.Int("shard"))
		if f.Err == nil {
			if i.tap != nil {
				i.tap.Submitted(now, j, volume, plan, product, hosts, keyed)
			}
			g.Submit(now, j, volume, plan, product, hosts, keyed)
		}
	case "ACCEPTED":
		id := f.Bytes("tid")
		f.Time("rtt_ms")
		f.Skip()
		copied := f.Int("copy")
		if f.Err == nil {
			if i.tap != nil {
				i.tap.StreamStarted(now, string(id), int(copied))
			}
			g.ResponseStarted(now, string(id), int(copied))
		}
	case "ANSWER":
		id := f.Bytes("tid")
		copied := f.Int("copy")
		f.Bytes("node")
		outcome := f.Outcome("ending")
		took := f.Time("rtt_ms")
		final := f.Bool("final")
		f.Number("seen_use") // the volume's meter: not used
		others := f.Number("by_others")
		if f.Err == nil {
			if i.tap != nil {
				i.tap.AttemptEnded(now, string(id), int(copied), outcome, took, final, others, 0, 0)
			}
			g.AttemptFinished(now, string(id), int(copied), outcome, took, final, others)
		}
	case "WITHDRAWN":
		if id := f.Bytes("tid"); f.Err == nil {
			if i.tap != nil {
				i.tap.ClientCancelled(now, string(id))
			}
			g.ClientLeft(now, string(id))
		}
	case "RING":
		if f.Int("ctx"); now >= i.wakeAt {
			i.wakeAt = 0
		}
	case "ECHO":
		node := f.Text("node")
		outcome := f.Outcome("ending")
		if took := f.Time("rtt_ms"); f.Err == nil {
			g.HealthChecked(now, node, outcome, took)
		}
	case "AGREED": // ours, not the bench's: the terms have changed, as an installation that follows versions tells a gateway
		terms := wire.ReadSettings(f)
		if i.tap != nil {
			i.tap.SettingsChanged(now, terms)
		}
		g.ApplySettings(now, terms)
	case "LENT": // likewise
		addr := f.Text("node")
		born := f.Time("born_ms")
		units := f.Number("quota_units")
		till := f.Time("till_ms")
		if f.Err == nil {
			if i.tap != nil {
				i.tap.Allocated(now, addr, born, units, till)
			}
			g.AllocateSlowStart(now, addr, born, units, till)
		}
	case "PEER":
		f.Int("author")
	}
}

// list reads what discovery says, with its entries. For a killed gateway they are read and dropped.
func (a *adapter) list(i *instance, now scheduler.Time, f *wire.Fields) {
	g := i.gateway
	told := endpoint.List{}
	mode := f.Text("mode")
	f.Int("rev")
	count := f.Int("nodes_list")
	switch mode {
	case "update", "replace", "restored", "unavailable":
	default:
		if f.Err == nil {
			f.Err = fmt.Errorf("mode: no such mode: %q", mode)
		}
	}
	if f.Err != nil {
		return
	}
	if g != nil && mode != "unavailable" {
		g.BeginEndpointList(now, mode != "update", mode == "restored")
	}
	for range count {
		e, err := a.in.Next()
		if err != nil {
			f.Err = fmt.Errorf("input ends inside the entries: %w", err)
			return
		}
		if name := e.Bytes("message"); string(name) != "ENTRY" {
			f.Err = fmt.Errorf("%q where an ENTRY is due", name)
			return
		}
		e.Number("heft")
		e.Skip() // generation_hw
		zone := e.Text("failure_domain")
		node := e.Text("node")
		born := e.Time("born_ms")
		shard := int(e.Int("block"))
		standing := e.Availability("availability")
		if e.Err != nil {
			f.Err = fmt.Errorf("entry at line %d: %w", a.in.Line, e.Err)
			return
		}
		if g != nil {
			g.UpdateEndpoint(node, zone, shard, born, standing)
			told.Nodes = append(told.Nodes, endpoint.Node{Addr: node, Zone: zone, Shard: shard, StartedAt: born,
				Health: endpoint.Health(standing)})
		}
	}
	switch {
	case g == nil:
	case mode == "unavailable":
		if i.tap != nil {
			i.tap.EndpointListFailed(now, false)
		}
		g.EndpointListFailed(now, false)
	default:
		if told.Stale = mode == "restored"; i.tap != nil {
			i.tap.EndpointUpdate(now, told, mode != "update")
		}
		g.FinishEndpointList()
	}
}

// decide asks a gateway for its decision and writes it.
func (a *adapter) decide(i *instance, now scheduler.Time) {
	var d *scheduler.Decision
	if i.failed == "" {
		func() {
			defer i.catch()
			d = i.gateway.Decide(now)
			if i.tap != nil {
				i.tap.Decided(now, d)
			}
		}()
	}
	if i.failed != "" {
		a.out.Start("INTERNAL_ERROR", i.number).Text(i.failed).End()
		return
	}
	for _, j := range d.Finished {
		if j.State == scheduler.RequestRejected {
			a.out.Start("BOUNCE", i.number).Text(j.ID).Time(j.RetryAfter).End()
		} else {
			a.out.Start("FINISH_ERROR", i.number).Text(j.ID).End()
		}
	}
	for _, e := range d.Cancel {
		a.out.Start("CANCEL", i.number).Text(e.Request.ID).Int(int64(e.Number)).End()
	}
	for _, e := range d.Dispatch {
		a.out.Start("ROUTE", i.number).Text(e.Request.ID).Time(e.Timeout).Text(e.Node.Addr).End()
	}
	for _, n := range d.HealthChecks {
		a.out.Start("TEST", i.number).Text(n.Addr).End()
	}
	if d.WatchEndpoints {
		a.out.Start("SUBSCRIBE", i.number).Int(1).End()
	}
	for _, line := range d.Log {
		a.out.Start("TRACE", i.number).Text(line).End()
	}
	if d.NextWake > 0 && (i.wakeAt == 0 || d.NextWake < i.wakeAt) {
		i.wakeAt = max(d.NextWake, now+scheduler.Microsecond)
		a.out.Start("SET_ALARM", i.number).Int(1).Time(i.wakeAt - now).End()
	}
}

// catch notes a panic of the module.
func (i *instance) catch() {
	if p := recover(); p != nil {
		i.failed = fmt.Sprint(p)
	}
}
