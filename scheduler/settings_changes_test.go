package scheduler

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// settingsWith returns a copy of the settings with some values replaced.
func settingsWith(base Settings, overrides map[string]string) Settings {
	settings := maps.Clone(base)
	maps.Copy(settings, overrides)
	return settings
}

// settingsRun is a random run in which the settings change at arbitrary times.
type settingsRun struct {
	*harness
	t             *rapid.T
	nonIdempotent map[*Request]bool // requests whose class has been non-idempotent at some time
	removed       map[string]bool   // names of service levels and classes that the settings lack
}

// Besides the harness's invariants: requests of removed service levels or classes are not sent, and no request that
// has ever been non-idempotent is sent again after it may have executed.
func TestInvariantsHoldWhileSettingsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed"))
		run := settingsRun{newHarness(seed, testSettings("plans.0.limit=0")), t, map[*Request]bool{}, map[string]bool{}}
		for shard, addr := range randomNodes {
			run.listNode(addr, shard, 0, EndpointReady)
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			run.step()
			if run.violation != "" {
				t.Fatal(run.violation)
			}
		}
		for range 60 {
			run.advance(20 * Millisecond)
		}
		s := run.scheduler
		if run.violation != "" || len(s.requests) > 0 || len(s.unplaced) > 0 {
			t.Fatalf("got violation %q, %d requests held, %d unplaced, want none",
				run.violation, len(s.requests), len(s.unplaced))
		}
	})
}

// step submits a request, ends an attempt, changes the settings or advances the clock.
func (r *settingsRun) step() {
	switch rapid.IntRange(0, 7).Draw(r.t, "step") {
	case 0, 1, 2:
		r.submitRandom()
	case 3, 4:
		if len(r.inFlight) > 0 {
			attempt := rapid.SampledFrom(r.inFlight).Draw(r.t, "attempt")
			outcomes := []Outcome{
				OutcomeServed, OutcomeServed, OutcomeError, OutcomeOverloaded, OutcomeReset, OutcomeConnectFailed,
			}
			r.finish(attempt, rapid.SampledFrom(outcomes).Draw(r.t, "outcome"))
		}
	case 5:
		r.changeSettings()
	default:
		r.advance(Time(rapid.IntRange(1, 150).Draw(r.t, "milliseconds")) * Millisecond)
		r.checkDispatched()
		r.checkWaiting()
	}
}

// submitRandom submits a random request.
func (r *settingsRun) submitRandom() {
	volume := int64(rapid.IntRange(0, 4).Draw(r.t, "volume"))
	class := rapid.SampledFrom([]string{"read", "once", "line"}).Draw(r.t, "class")
	shard := rapid.IntRange(-1, 2).Draw(r.t, "shard")
	units := float64(rapid.IntRange(1, 8).Draw(r.t, "units"))
	request := r.submit(volume, class, shard, units)
	r.nonIdempotent[request] = request.Class.Idempotency == NonIdempotent
}

// changeSettings changes some settings and removes some service levels and classes by renaming them.
func (r *settingsRun) changeSettings() {
	kind := rapid.SampledFrom([]string{"replayable", "single-use"}).Draw(r.t, "kind of read")
	overrides := map[string]string{
		"products.0.kind": kind,
		"plans.1.reserve": rapid.SampledFrom([]string{"0", "20"}).Draw(r.t, "reserve"),
		"plans.0.weight":  rapid.SampledFrom([]string{"1", "5"}).Draw(r.t, "weight"),
		"executions.most": rapid.SampledFrom([]string{"1", "3"}).Draw(r.t, "attempts"),
	}
	clear(r.removed)
	for _, name := range []string{"plans.1.name", "products.0.name", "products.3.name"} {
		if rapid.IntRange(0, 3).Draw(r.t, name) == 0 {
			r.removed[r.settings[name]] = true
			overrides[name] = "other"
		}
	}
	r.scheduler.ApplySettings(r.now, settingsWith(r.settings, overrides))
	if kind != "single-use" || r.removed["read"] {
		return
	}
	for _, request := range r.requests {
		if request.Class.Name == "read" && !request.State.Terminal() {
			r.nonIdempotent[request] = true
		}
	}
}

// isRemoved reports whether the settings lack a request's class or service level.
func (r *settingsRun) isRemoved(request *Request) bool {
	return r.removed[request.Class.Name] || r.removed[request.Volume.ServiceLevel.Name]
}

// checkDispatched checks the attempts sent by the latest decision.
func (r *settingsRun) checkDispatched() {
	for _, attempt := range r.dispatched {
		request := attempt.Request
		if r.isRemoved(request) {
			r.t.Fatalf("request %s was sent although class %s or level %s was removed",
				request.ID, request.Class.Name, request.Volume.ServiceLevel.Name)
		}
		if !r.nonIdempotent[request] {
			continue
		}
		for _, earlier := range request.Attempts[:attempt.Number] {
			if !earlier.Outcome.NeverExecuted() {
				r.t.Fatalf("request %s may be executed twice", request.ID)
			}
		}
	}
}

// checkWaiting checks that no waiting request belongs to a removed class or service level.
func (r *settingsRun) checkWaiting() {
	for _, request := range r.requests {
		waits := request.State == RequestUnplaced || request.State == RequestQueued
		if waits && r.isRemoved(request) {
			r.t.Fatalf("request %s waits although class %s or level %s was removed",
				request.ID, request.Class.Name, request.Volume.ServiceLevel.Name)
		}
	}
}
