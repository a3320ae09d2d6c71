package scheduler

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// changed is terms with some values set, and some plans or products left out by another name.
func changed(base Settings, more map[string]string) Settings {
	t := maps.Clone(base)
	maps.Copy(t, more)
	return t
}

// TestRulesHoldWhileTermsChange plays random runs in which the terms change at any moment. Beside the rules that a world checks, nothing
// is sent of what is left out, and nothing again that was ever single-use since it was taken.
func TestRulesHoldWhileTermsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")), terms("plans.0.limit=0"))
		for shard, addr := range []string{"a0", "a1", "b2"} {
			w.list(addr, shard, 0, EndpointReady)
		}
		once, out := map[*Request]bool{}, map[string]bool{}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				j := w.take(int64(rapid.IntRange(0, 4).Draw(t, "volume")), rapid.SampledFrom([]string{"read", "once", "line"}).Draw(t, "product"),
					rapid.IntRange(-1, 2).Draw(t, "shard"), float64(rapid.IntRange(1, 8).Draw(t, "units")))
				once[j] = j.Class.Idempotency == NonIdempotent
			case 3, 4:
				if len(w.out) > 0 {
					w.end(rapid.SampledFrom(w.out).Draw(t, "execution"), rapid.SampledFrom([]Outcome{OutcomeServed, OutcomeServed, OutcomeError, OutcomeOverloaded, OutcomeReset, OutcomeConnectFailed}).Draw(t, "outcome"))
				}
			case 5:
				kind := rapid.SampledFrom([]string{"replayable", "single-use"}).Draw(t, "kind of read")
				clear(out)
				more := map[string]string{"products.0.kind": kind, "plans.1.reserve": rapid.SampledFrom([]string{"0", "20"}).Draw(t, "reserve"),
					"plans.0.weight": rapid.SampledFrom([]string{"1", "5"}).Draw(t, "weight"), "executions.most": rapid.SampledFrom([]string{"1", "3"}).Draw(t, "most")}
				for _, name := range []string{"plans.1.name", "products.0.name", "products.3.name"} {
					if rapid.IntRange(0, 3).Draw(t, name) == 0 {
						out[w.t[name]], more[name] = true, "other"
					}
				}
				w.g.ApplySettings(w.now, changed(w.t, more))
				for _, j := range w.jobs {
					once[j] = once[j] || j.Class.Name == "read" && kind == "single-use" && !j.State.Terminal() && !out["read"]
				}
			default:
				w.pass(Time(rapid.IntRange(1, 150).Draw(t, "milliseconds")) * Millisecond)
				for _, e := range w.started {
					if j := e.Request; out[j.Class.Name] || out[j.Volume.ServiceLevel.Name] {
						t.Fatalf("job %s of %s, %s is sent, which is left out", j.ID, j.Class.Name, j.Volume.ServiceLevel.Name)
					} else if once[j] {
						for _, o := range j.Attempts[:e.Number] {
							if !o.Outcome.NeverExecuted() {
								t.Fatalf("job %s may run twice", j.ID)
							}
						}
					}
				}
				for _, j := range w.jobs {
					if waits := j.State == RequestUnplaced || j.State == RequestQueued; waits && (out[j.Class.Name] || out[j.Volume.ServiceLevel.Name]) {
						t.Fatalf("job %s of %s, %s waits, which is left out", j.ID, j.Class.Name, j.Volume.ServiceLevel.Name)
					}
				}
			}
			if w.broken != "" {
				t.Fatal(w.broken)
			}
		}
		for range 60 {
			w.pass(20 * Millisecond)
		}
		if w.broken != "" || len(w.g.jobs) > 0 || len(w.g.held) > 0 {
			t.Fatalf("%s; %d jobs are not forgotten, %d held", w.broken, len(w.g.jobs), len(w.g.held))
		}
	})
}

// Each stated outcome of a change, once.
func TestOtherTerms(t *testing.T) {
	begin := func(more ...string) *world {
		w := newWorld(1, terms(more...))
		w.list("a0", 0, 0, EndpointReady)
		return w
	}
	t.Run("a limit cut below present use", func(t *testing.T) {
		w := begin("plans.0.limit=60", "plans.0.burst=64") // half of it here
		w.store[nil] = nil
		v := w.take(2, "read", 0, 8).Volume
		w.store[v] = &TokenBucket{Rate: 30, Capacity: 32, UpdatedAt: w.begins}
		w.wait(2 * Second)
		w.g.ApplySettings(w.now, changed(w.t, map[string]string{"plans.0.limit": "8", "plans.0.burst": "8"}))
		want(t, w, "what is saved up fits", v.RateLimit.Level <= 4, true)
		w.store[v].resize(w.now, 4, 4)
		sent := 0.0
		for range 100 {
			w.take(2, "read", 0, 2)
			w.pass(50 * Millisecond)
			for _, e := range w.started {
				sent += e.Request.Units
			}
			for len(w.out) > 0 {
				w.end(w.out[0], OutcomeServed)
			}
		}
		want(t, w, "sent in five seconds, 24 at most", sent >= 16 && sent <= 24, true)
	})
	t.Run("a limit where there was none", func(t *testing.T) {
		w := begin("plans.0.limit=0")
		j := w.take(2, "read", 0, 8)
		w.pass(Millisecond)
		w.end(w.out[0], OutcomeServed)
		w.g.ApplySettings(w.now, terms())
		want(t, w, "saved up", j.Volume.RateLimit.Level, 0.0)
		w.g.ApplySettings(w.now, terms("plans.0.limit=0"))
		late := w.take(2, "read", 0, 8)
		w.pass(Millisecond)
		want(t, w, "without one again", late.State, RequestInFlight)
	})
	t.Run("a reserve cut, and none at all", func(t *testing.T) {
		w := begin("plans.0.limit=0")
		v := w.take(1, "read", 0, 2).Volume
		w.g.ApplySettings(w.now, terms("plans.1.reserve=4"))
		want(t, w, "rate", v.Reserve.Rate, 2.0)
		want(t, w, "level within the most", v.Reserve.Level <= v.Reserve.Capacity, true)
		w.g.ApplySettings(w.now, terms("plans.1.reserve=0", "plans.1.rate=3"))
		want(t, w, "stands in", v.Reserve.Rate, 3.0)
	})
	t.Run("a kind that changes while jobs are out", func(t *testing.T) {
		for _, c := range []struct {
			product, value string
			sent           int
		}{{"products.0.kind", "single-use", 1}, {"products.1.kind", "replayable", 1}, {"products.0.goal", "199", 2}} {
			w := begin("plans.0.limit=0")
			j := w.take(2, map[string]string{"products.1.kind": "once"}[c.product]+map[string]string{"products.0.kind": "read", "products.0.goal": "read"}[c.product], 0, 1)
			w.pass(Millisecond)
			w.g.ApplySettings(w.now, terms("plans.0.limit=0", c.product+"="+c.value))
			w.end(w.out[0], OutcomeError)
			w.pass(Millisecond)
			want(t, w, c.product+", executions", len(j.Attempts), c.sent)
		}
	})
	t.Run("a product of two groups", func(t *testing.T) {
		zone, shard := &RequestClass{Idempotency: IdempotencyKeyed, DedupScope: DedupSameZone, DedupWindow: 5}, &RequestClass{Idempotency: IdempotencyKeyed, DedupScope: DedupSameShard, DedupWindow: 7}
		all, free := &RequestClass{Idempotency: IdempotencyKeyed, DedupWindow: 9}, &RequestClass{}
		for _, c := range []struct {
			a, b *RequestClass
			want RequestClass
		}{{zone, shard, RequestClass{Idempotency: NonIdempotent, DedupScope: DedupSameShard, DedupWindow: 5}}, {free, shard, *shard}, {all, free, *all}, {zone, zone, *zone}} {
			if got := stricter(c.a, c.b); *got != c.want {
				t.Errorf("of %+v and %+v: %+v", c.a, c.b, got)
			}
		}
	})
	t.Run("a plan that is left out and comes back", func(t *testing.T) {
		w := begin("plans.0.limit=0")
		out := w.take(2, "read", 0, 1)
		w.pass(Millisecond)
		w.g.byAddr["a0"].EjectedUntil = w.now + Second
		queued, held := w.take(2, "read", 0, 1), w.take(2, "read", 2, 1)
		w.pass(Millisecond)
		w.g.ApplySettings(w.now, terms("plans.0.name=iron"))
		late := w.take(2, "read", 0, 1)
		w.pass(0)
		for _, j := range []*Request{queued, held, late} {
			want(t, w, "what waits", j.State, RequestRejected)
		}
		want(t, w, "what is out", out.State, RequestInFlight)
		w.end(w.out[0], OutcomeServed)
		want(t, w, "and its answer", out.State, RequestSucceeded)
		w.g.ApplySettings(w.now, terms("plans.0.limit=0"))
		w.g.byAddr["a0"].EjectedUntil = 0
		back := w.take(2, "read", 0, 1)
		w.pass(Millisecond)
		want(t, w, "when it is back", back.State, RequestInFlight)
		want(t, w, "its volume is the same", back.Volume == out.Volume, true)
	})
	t.Run("order that is asked for now", func(t *testing.T) {
		w := begin("plans.0.limit=0")
		first := w.take(3, "read", 0, 1) // key 0
		w.pass(Millisecond)
		w.g.ApplySettings(w.now, terms("plans.0.limit=0", "products.0.in_turn=true"))
		later, other := w.take(3, "read", 0, 1), w.take(4, "read", 0, 1)
		w.pass(Millisecond)
		want(t, w, "behind one that may still run", later.State, RequestUnplaced)
		want(t, w, "of another key", other.State, RequestInFlight)
		want(t, w, "the first", first.State, RequestInFlight)
	})
	t.Run("a budget over a longer time", func(t *testing.T) {
		w := begin("plans.0.limit=0", "further.window=100")
		w.g.ApplySettings(w.now, terms("plans.0.limit=0"))
		j := w.take(2, "read", 0, 1)
		w.pass(Millisecond)
		w.end(w.out[0], OutcomeError)
		w.pass(Millisecond)
		want(t, w, "executions, where what was sent before is not known", len(j.Attempts), 1)
		w.wait(1100 * Millisecond)
		j = w.take(2, "read", 0, 1)
		w.pass(Millisecond)
		w.end(w.out[0], OutcomeError)
		w.pass(Millisecond)
		want(t, w, "executions, once it is", len(j.Attempts), 2)
	})
}
