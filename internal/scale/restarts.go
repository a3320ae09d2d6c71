package scale

import (
	"slices"

	"irispost/internal/scale/meter"
)

// zoneBack kills the gateways of the first region's last zone at once, makes a change, and has them back at once.
func zoneBack(f *Fleet, r *Result) error {
	return back(f, r, f.in(f.Size.FirstRegionZones-1))
}

// allBack does it with all gateways.
func allBack(f *Fleet, r *Result) error { return back(f, r, f.Gateways) }

// in is the gateways of a zone.
func (f *Fleet) in(zone int) (list []*Hollow) {
	for _, h := range f.Gateways {
		if h.zone == zone {
			list = append(list, h)
		}
	}
	return list
}

func back(f *Fleet, r *Result, list []*Hollow) error {
	r.Figures["killed"] = float64(len(list))
	f.kill(list)
	c, err := f.propose("a change while gateways are not there", tune)
	if err != nil {
		return err
	}
	gone := func(h *Hollow) bool { return slices.Contains(list, h) }
	if len(list) < len(f.Gateways) {
		r.Violations = append(r.Violations, f.await(c.Version, gone)...)
		r.Distributions["in_force_meanwhile_ms"] = meter.QuantilesOf(f.took(c, gone))
		r.bound("a change while they are not there", r.Distributions["in_force_meanwhile_ms"].Worst, float64(inForceBound.Milliseconds()))
	}
	at := monotonic()
	if err := f.start(f.startable(list)); err != nil {
		return err
	}
	r.Violations = append(r.Violations, f.await(c.Version, nobody)...)
	var took []float64
	for _, h := range list {
		turns, _ := h.seen()
		if t, ok := since(turns, c.Version); ok {
			took = append(took, float64(t-at)/1e6)
		}
	}
	r.Distributions["acts_after_start_ms"] = meter.QuantilesOf(took)
	r.bound("the last gateway that is back", r.Distributions["acts_after_start_ms"].Worst, float64(inForceBound.Milliseconds()))
	r.ends(f, 0, f.Size.Nodes-1)
	return nil
}

// startable leaves out a gateway that a test has forgotten.
func (f *Fleet) startable(list []*Hollow) []*Hollow {
	return slices.DeleteFunc(slices.Clone(list), func(h *Hollow) bool { return h.flaw&LeftOut != 0 })
}

// rolling starts all gateways again, a wave at a time: the next once the last is there.
func rolling(f *Fleet, r *Result) error {
	at, waves := monotonic(), 0.0
	var c Change
	for wave := range slices.Chunk(f.Gateways, f.Size.RestartBatch) {
		f.kill(wave)
		var err error
		if c, err = f.propose("a change in the middle of a rolling restart", tune); err != nil {
			return err
		}
		if err := f.start(f.startable(wave)); err != nil {
			return err
		}
		if list := f.await(c.Version, nobody); len(list) > 0 {
			r.Violations = append(r.Violations, list...)
			break
		}
		waves++
	}
	r.Figures["waves"], r.Figures["wave_ms"] = waves, float64(monotonic()-at)/1e6/max(waves, 1)
	r.ends(f, 0, f.Size.Nodes-1)
	return nil
}
