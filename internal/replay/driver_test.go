package replay

import (
	"fmt"
	"maps"
	"math/rand/v2"

	"irispost/internal/capture"
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// driver imitates a gateway's event loop: it makes random calls of a scheduler and the matching calls of a recorder.
type driver struct {
	random    *rand.Rand
	recorder  *capture.Recorder
	scheduler *scheduler.Scheduler
	settings  scheduler.Settings
	now       scheduler.Time
	inFlight  []*scheduler.Attempt
}

func newDriver(seed uint64, recorder *capture.Recorder) *driver {
	d := &driver{random: rand.New(rand.NewPCG(seed, 5)), recorder: recorder, now: scheduler.Second}
	d.settings = scheduler.Settings{
		"gateways": "2", "units.mean": "1", "units.largest": "4", "executions.most": "3", "calling_off": "true",
		"second_copies": "true", "retry_after": "true", "retry_after.most": "500", "key.rest": "20",
		"plans.count":  "2",
		"plans.0.name": "p", "plans.0.rate": "200", "plans.0.reserve": "50",
		"plans.1.name": "q", "plans.1.limit": "40", "plans.1.burst": "40",
		"products.count":  "2",
		"products.0.name": "read", "products.0.goal": "100", "products.0.patience": "400",
		"products.1.name": "write", "products.1.goal": "100", "products.1.patience": "400", "products.1.in_turn": "true",
	}
	recorder.Start(d.now, seed, d.settings)
	d.scheduler = scheduler.New(d.now, seed, d.settings)
	d.updateEndpoints()
	return d
}

// randomEvent makes one random call. number is the number of the request that it may submit.
func (d *driver) randomEvent(number int) {
	d.now += scheduler.Time(d.random.IntN(int(4 * scheduler.Millisecond)))
	switch percent := d.random.IntN(100); {
	case percent < 50:
		d.submit(number)
	case percent < 97 && len(d.inFlight) > 0:
		d.endAttempt()
	case percent == 97:
		d.rareEvent()
	case percent == 98:
		d.updateEndpoints()
	case len(d.inFlight) > 0:
		request := d.inFlight[0].Request.ID
		d.recorder.ClientCancelled(d.now, request)
		d.scheduler.ClientCancelled(d.now, request)
	}
}

func (d *driver) updateEndpoints() {
	var list endpoint.List
	for i := range 4 {
		if d.random.IntN(8) > 0 {
			startedAt := int64(d.random.IntN(2)) * d.now
			list.Nodes = append(list.Nodes, endpoint.Node{Addr: fmt.Sprint("n", i), Shard: i, StartedAt: startedAt})
		}
	}
	d.recorder.EndpointList(d.now, list)
	d.scheduler.BeginEndpointList(d.now, true, false)
	for _, node := range list.Nodes {
		d.scheduler.UpdateEndpoint(node.Addr, node.Zone, node.Shard, node.StartedAt, scheduler.EndpointReady)
	}
	d.scheduler.FinishEndpointList()
}

func (d *driver) submit(number int) {
	class := []string{"read", "write"}[d.random.IntN(2)]
	write := class == "write"
	request := &scheduler.Request{
		ID:       fmt.Sprintf("j%d", number),
		Units:    0.25 + 2*d.random.Float64(),
		Shard:    d.random.IntN(5) - 1,
		Key:      int64(d.random.IntN(3)),
		Write:    write,
		Deadline: d.now + 400*scheduler.Millisecond,
	}
	volume := int64(d.random.IntN(4))
	level := []string{"p", "q"}[d.random.IntN(2)]
	d.recorder.Submitted(d.now, request, volume, level, class, 2, write)
	d.scheduler.Submit(d.now, request, volume, level, class, 2, write)
}

// outcomes are drawn from uniformly; repeated ones are more likely.
var outcomes = []scheduler.Outcome{scheduler.OutcomeServed, scheduler.OutcomeServed, scheduler.OutcomeServed,
	scheduler.OutcomeError, scheduler.OutcomeTimeout, scheduler.OutcomeOverloaded}

func (d *driver) endAttempt() {
	i := d.random.IntN(len(d.inFlight))
	ended := d.inFlight[i]
	d.inFlight = append(d.inFlight[:i], d.inFlight[i+1:]...)
	outcome := outcomes[d.random.IntN(len(outcomes))]
	request, took := ended.Request, d.now-ended.SentAt
	final := request.State.Terminal() || outcome == scheduler.OutcomeServed
	d.recorder.AttemptEnded(d.now, request.ID, ended.Number, outcome, took, final, 0.5, 1, 2)
	d.scheduler.AttemptFinished(d.now, request.ID, ended.Number, outcome, took, final, 0.5)
}

// rareEvent makes one of the calls that are rare in a gateway.
func (d *driver) rareEvent() {
	switch d.random.IntN(3) {
	case 0:
		settings := maps.Clone(d.settings)
		settings["plans.0.rate"] = fmt.Sprint(50 + d.random.IntN(200))
		settings["plans.1.name"] = []string{"q", "z"}[d.random.IntN(2)]
		d.recorder.SettingsChanged(d.now, settings)
		d.scheduler.ApplySettings(d.now, settings)
	case 1:
		unanswered := d.random.IntN(2) == 0
		d.recorder.EndpointListFailed(d.now, unanswered)
		d.scheduler.EndpointListFailed(d.now, unanswered)
	default:
		addr := fmt.Sprint("n", d.random.IntN(4))
		units := 4 * d.random.Float64()
		expiresAt := d.now + scheduler.Time(d.random.IntN(int(scheduler.Second)))
		d.recorder.Allocated(d.now, addr, 0, units, expiresAt)
		d.scheduler.AllocateSlowStart(d.now, addr, 0, units, expiresAt)
	}
}

// decide lets the scheduler decide, and carries out the decision.
func (d *driver) decide() {
	decision := d.scheduler.Decide(d.now)
	d.recorder.Decided(d.now, decision)
	if d.recorder.NeedsSnapshot() {
		d.recorder.Snapshot(d.now, d.scheduler)
	}
	d.inFlight = append(d.inFlight, decision.Dispatch...)
	for _, cancelled := range decision.Cancel {
		if cancelled.Outcome == scheduler.OutcomePending {
			d.endCancelled(cancelled)
		}
	}
	pending := d.inFlight[:0]
	for _, attempt := range d.inFlight {
		if attempt.Outcome == scheduler.OutcomePending {
			pending = append(pending, attempt)
		}
	}
	d.inFlight = pending
}

func (d *driver) endCancelled(cancelled *scheduler.Attempt) {
	request, took := cancelled.Request, d.now-cancelled.SentAt
	final := request.State.Terminal()
	d.recorder.AttemptEnded(d.now, request.ID, cancelled.Number, scheduler.OutcomeCancelled, took, final, 0, 0, 0)
	d.scheduler.AttemptFinished(d.now, request.ID, cancelled.Number, scheduler.OutcomeCancelled, took, final, 0)
}
