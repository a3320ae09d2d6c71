package adapter

import (
	"fmt"

	"irispost/internal/wire"
	"irispost/scheduler"
)

// instance is one gateway of the simulator, with a scheduler of its own.
type instance struct {
	number    int64
	scheduler *scheduler.Scheduler // nil while the instance is down
	tap       Tap                  // nil: none
	inBatch   bool                 // it has an event in the current batch
	wakeAt    scheduler.Time       // time of the earliest pending timer; 0: none
	failure   string               // value of the panic that made it fail; empty: none
}

// recoverPanic records a panic of the scheduler as the failure of the instance. It must be called by a defer
// statement.
func (i *instance) recoverPanic() {
	if p := recover(); p != nil {
		i.failure = fmt.Sprint(p)
	}
}

// handle turns an event into a call to the scheduler. An event that cannot be parsed is not passed on, and its error
// is left in fields.Err.
func (i *instance) handle(name string, now scheduler.Time, fields *wire.Fields) {
	switch name {
	case eventInit:
		i.start(now, fields)
		return
	case eventDown:
		i.scheduler = nil
		i.wakeAt = 0
		return
	}
	if i.scheduler == nil {
		return // the instance is down: replies to its earlier actions are void
	}
	switch name {
	case eventRequest:
		i.submit(now, fields)
	case eventStreamStarted:
		i.streamStarted(now, fields)
	case eventAttemptEnded:
		i.attemptEnded(now, fields)
	case eventClientCancelled:
		i.clientCancelled(now, fields)
	case eventTimer:
		i.timerFired(now, fields)
	case eventHealthCheckEnded:
		i.healthCheckEnded(now, fields)
	case eventPeerMessage:
		fields.Int("author")
	case eventSettingsChanged:
		i.settingsChanged(now, fields)
	case eventAllocated:
		i.allocated(now, fields)
	}
}

func (i *instance) start(now scheduler.Time, fields *wire.Fields) {
	seed := fields.Uint64("entropy")
	settings := wire.ReadSettings(fields)
	if fields.Err != nil {
		return
	}
	if i.tap != nil {
		i.tap.Start(now, seed, settings)
	}
	i.scheduler = scheduler.New(now, seed, settings)
	i.wakeAt = 0
}

func (i *instance) submit(now scheduler.Time, fields *wire.Fields) {
	r := &scheduler.Request{ID: fields.Text("tid")}
	fields.Skip() // repeat: not used; the scheduler decides by the remaining time
	gateways := fields.Float64("n_hosts")
	volume := fields.Int("disk")
	r.Units = fields.Float64("quota_units")
	r.Write = fields.Bool("update")
	serviceLevel := fields.Text("tier")
	r.Deadline = fields.Time("deadline_ms")
	key, hasKey := fields.OptionalInt("extent")
	r.Key = key
	class := fields.Text("profile")
	r.Shard = int(fields.Int("shard"))
	if fields.Err != nil {
		return
	}
	if i.tap != nil {
		i.tap.Submitted(now, r, volume, serviceLevel, class, gateways, hasKey)
	}
	i.scheduler.Submit(now, r, volume, serviceLevel, class, gateways, hasKey)
}

func (i *instance) streamStarted(now scheduler.Time, fields *wire.Fields) {
	requestID := fields.Bytes("tid")
	fields.Time("rtt_ms")
	fields.Skip() // node
	number := fields.Int("copy")
	if fields.Err != nil {
		return
	}
	if i.tap != nil {
		i.tap.StreamStarted(now, string(requestID), int(number))
	}
	i.scheduler.ResponseStarted(now, string(requestID), int(number))
}

func (i *instance) attemptEnded(now scheduler.Time, fields *wire.Fields) {
	requestID := fields.Bytes("tid")
	number := fields.Int("copy")
	fields.Bytes("node")
	outcome := fields.Outcome("ending")
	took := fields.Time("rtt_ms")
	final := fields.Bool("final")
	fields.Float64("seen_use") // the scheduler does not use the volume's meter
	unitsElsewhere := fields.Float64("by_others")
	if fields.Err != nil {
		return
	}
	if i.tap != nil {
		i.tap.AttemptEnded(now, string(requestID), int(number), outcome, took, final, unitsElsewhere, 0, 0)
	}
	i.scheduler.AttemptFinished(now, string(requestID), int(number), outcome, took, final, unitsElsewhere)
}

func (i *instance) clientCancelled(now scheduler.Time, fields *wire.Fields) {
	requestID := fields.Bytes("tid")
	if fields.Err != nil {
		return
	}
	if i.tap != nil {
		i.tap.ClientCancelled(now, string(requestID))
	}
	i.scheduler.ClientCancelled(now, string(requestID))
}

func (i *instance) timerFired(now scheduler.Time, fields *wire.Fields) {
	fields.Int("ctx")
	if now >= i.wakeAt {
		i.wakeAt = 0
	}
}

func (i *instance) healthCheckEnded(now scheduler.Time, fields *wire.Fields) {
	node := fields.Text("node")
	outcome := fields.Outcome("ending")
	took := fields.Time("rtt_ms")
	if fields.Err == nil {
		i.scheduler.HealthChecked(now, node, outcome, took)
	}
}

func (i *instance) settingsChanged(now scheduler.Time, fields *wire.Fields) {
	settings := wire.ReadSettings(fields)
	if i.tap != nil {
		i.tap.SettingsChanged(now, settings)
	}
	i.scheduler.ApplySettings(now, settings)
}

func (i *instance) allocated(now scheduler.Time, fields *wire.Fields) {
	addr := fields.Text("node")
	startedAt := fields.Time("born_ms")
	units := fields.Float64("quota_units")
	expiresAt := fields.Time("till_ms")
	if fields.Err != nil {
		return
	}
	if i.tap != nil {
		i.tap.Allocated(now, addr, startedAt, units, expiresAt)
	}
	i.scheduler.AllocateSlowStart(now, addr, startedAt, units, expiresAt)
}

// decide returns the decision of the scheduler, or nil if the instance has failed.
func (i *instance) decide(now scheduler.Time) (decision *scheduler.Decision) {
	if i.failure != "" {
		return nil
	}
	defer i.recoverPanic()
	decision = i.scheduler.Decide(now)
	if i.tap != nil {
		i.tap.Decided(now, decision)
	}
	return decision
}
