package scale

import (
	"os"
	"runtime"
	"time"

	"irispost/internal/scale/meter"
)

// ordinary is a day squeezed: changes one after another, each in force everywhere before the next, with restarts and kills spread over
// them. What is held is weighed after each part of them.
func ordinary(f *Fleet, r *Result) error {
	s := &f.Size
	if err := f.watch(r, "rest"); err != nil {
		return err
	}
	if h := f.flawed(); h.flaw&LoseVersion != 0 {
		h.lost.Store(f.newest + uint64(s.Changes)/2)
	}
	var took, quiet []float64
	before, began := f.bytes.Both(), monotonic()
	spent, err := f.spent()
	if err != nil {
		return err
	}
	keeperAway := (*keeper)(nil)
	waiting := []*Hollow(nil) // gateways that were killed, to be started after the next change
	part := 1
	for i := 1; i <= s.Changes; i++ {
		disturbed := true
		switch next := f.Gateways[i*7%len(f.Gateways)]; {
		case due(i, s.Changes, s.Kills) == 1:
			_, other, err := f.leader()
			if err != nil {
				return err
			}
			other.kill()
			keeperAway = other
		case due(i, s.Changes, s.Kills) > 0:
			f.kill([]*Hollow{next})
			waiting = append(waiting, next)
		case due(i, s.Changes, s.Restarts) > 0:
			f.kill([]*Hollow{next})
			if err := f.start(f.startable([]*Hollow{next})); err != nil {
				return err
			}
		default:
			disturbed = len(waiting) > 0 || keeperAway != nil
		}
		c, err := f.propose("an ordinary change", tune)
		if err != nil {
			return err
		}
		away := func(h *Hollow) bool { return len(waiting) > 0 && h == waiting[0] }
		if list := f.await(c.Version, away); len(list) > 0 {
			r.broke("change %d: %v", i, list)
			break
		}
		each := f.took(c, away)
		took = append(took, meter.QuantilesOf(each).Worst)
		if !disturbed {
			quiet = append(quiet, meter.QuantilesOf(each).Worst)
		}
		if len(waiting) > 0 {
			if err := f.start(f.startable(waiting)); err != nil {
				return err
			}
			waiting = nil
		}
		if keeperAway != nil {
			if err := f.startKeeper(keeperAway); err != nil {
				return err
			}
			keeperAway = nil
		}
		f.forget()
		if i >= part*s.Changes/s.Phases {
			part++
			if err := r.audit(f); err != nil {
				return err
			}
			if err := f.weigh(r); err != nil {
				return err
			}
			f.opt.Note("%d of %d changes, the slowest %.0f ms; MB: %v", i, s.Changes, meter.QuantilesOf(took).Worst, r.MemoryByPhase)
		}
	}
	after, err := f.spent()
	if err != nil {
		return err
	}
	changes := float64(len(took))
	r.Distributions["in_force_ms"], r.Distributions["in_force_undisturbed_ms"] = meter.QuantilesOf(took), meter.QuantilesOf(quiet)
	r.bound("in force on an ordinary day", r.Distributions["in_force_ms"].Worst, float64(inForceBound.Milliseconds()))
	span := float64(monotonic()-began) / 1e9
	perChange := float64(f.bytes.Both()-before) / float64(len(f.Gateways))
	perChange -= r.Figures["rest_bytes_s"] * span
	r.Figures["change_bytes"] = perChange / max(changes, 1)
	r.Figures["day_bytes_s"] = r.Figures["rest_bytes_s"] + r.Figures["change_bytes"]*950/86400
	leads, _, err := f.leader()
	if err != nil {
		return err
	}
	for i, k := range f.keepers {
		if after[i].CPU > spent[i].CPU { // one that was killed begins anew
			name := "other_keeper_cpu_ms_change"
			if k == leads {
				name = "leader_cpu_ms_change"
			}
			r.Figures[name] = float64((after[i].CPU - spent[i].CPU).Milliseconds()) / max(changes, 1)
		}
	}
	for what, parts := range r.MemoryByPhase {
		if text := grown(what, parts); text != "" {
			r.Violations = append(r.Violations, text)
		}
	}
	r.ends(f, 0)
	return nil
}

// due tells whether one of so many events, spread over changes, comes with this change: which, from 1; 0: none.
func due(change, changes, events int) int {
	if events == 0 || change*events/changes == (change-1)*events/changes {
		return 0
	}
	return change * events / changes
}

// watch has a look at what the fleet costs while nothing happens.
func (f *Fleet) watch(r *Result, what string) error {
	time.Sleep(f.Size.IdleTime / 4) // what the start has left to do
	me, err := meter.Process(os.Getpid())
	if err != nil {
		return err
	}
	keepers, err := f.spent()
	if err != nil {
		return err
	}
	bytes, at := f.bytes.Both(), time.Now()
	time.Sleep(f.Size.IdleTime)
	span := time.Since(at).Seconds()
	meNow, err := meter.Process(os.Getpid())
	if err != nil {
		return err
	}
	now, err := f.spent()
	if err != nil {
		return err
	}
	leads, _, err := f.leader()
	if err != nil {
		return err
	}
	gateways := float64(len(f.Gateways))
	r.Figures[what+"_bytes_s"] = float64(f.bytes.Both()-bytes) / span / gateways
	r.Figures[what+"_gateway_core"] = (meNow.CPU - me.CPU).Seconds() / span / gateways
	r.Figures[what+"_gateway_mb"] = meNow.MB / gateways
	for i, k := range f.keepers {
		name := "other_keeper"
		if k == leads {
			name = "leader"
		}
		r.Figures[what+"_"+name+"_core"] = (now[i].CPU - keepers[i].CPU).Seconds() / span
		r.Figures[what+"_"+name+"_mb"] = now[i].MB
	}
	return nil
}

// weigh notes what is held after a part of a run, in MB: by each keeper's process and folder, and by all gateways together after a
// collection of what is not held.
func (f *Fleet) weigh(r *Result) error {
	spent, err := f.spent()
	if err != nil {
		return err
	}
	for i, k := range f.keepers {
		name := "keeper " + string(rune('0'+k.number))
		folder, err := meter.Folder(k.dir)
		if err != nil {
			return err
		}
		r.MemoryByPhase[name] = append(r.MemoryByPhase[name], spent[i].MB)
		r.MemoryByPhase[name+", folder"] = append(r.MemoryByPhase[name+", folder"], float64(folder)/1e6)
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	r.MemoryByPhase["gateways"] = append(r.MemoryByPhase["gateways"], float64(m.HeapAlloc)/1e6)
	return nil
}
