package scale

import (
	"slices"
	"syscall"
	"time"

	"irispost/internal/fleet/rig"
	"irispost/internal/scale/meter"
)

// trouble is a single fault: it begins just before a change is proposed, and ends once that is in force at all gateways that are there.
type trouble struct {
	name  string
	begin func(*Fleet) (out func(*Hollow) bool, end func() error, err error)
}

// troubles are the letter's, and what one gateway may suffer from.
var troubles = []trouble{
	{"none", func(*Fleet) (func(*Hollow) bool, func() error, error) { return nobody, nothing, nil }},
	{"gateway_killed", func(f *Fleet) (func(*Hollow) bool, func() error, error) { return f.killed(f.Gateways[victim:][:1]) }},
	{"rack_killed", func(f *Fleet) (func(*Hollow) bool, func() error, error) { // 1/28 of the fleet
		return f.killed(f.Gateways[victim:][:max((len(f.Gateways)+27)/28, 1)])
	}},
	{"zone_killed", func(f *Fleet) (func(*Hollow) bool, func() error, error) {
		return f.killed(f.in(f.Size.FirstRegionZones - 1))
	}},
	{"keeper_killed", func(f *Fleet) (func(*Hollow) bool, func() error, error) {
		_, other, err := f.leader()
		return f.keeperKilled(other, err)
	}},
	{"leader_killed", func(f *Fleet) (func(*Hollow) bool, func() error, error) {
		leads, _, err := f.leader()
		return f.keeperKilled(leads, err)
	}},
	{"leader_stopped", func(f *Fleet) (func(*Hollow) bool, func() error, error) {
		leads, _, err := f.leader()
		if err != nil {
			return nil, nil, err
		}
		process := leads.cmd.Process
		return nobody, func() error { return process.Signal(syscall.SIGCONT) }, process.Signal(syscall.SIGSTOP)
	}},
	{"region_cut", func(f *Fleet) (func(*Hollow) bool, func() error, error) {
		f.cut(rig.Fault{DropForward: true, DropReturn: true})
		minority := f.minority()
		return func(h *Hollow) bool { return f.Size.region(h.zone) == minority }, func() error { f.cut(rig.Fault{}); return nil }, nil
	}},
	{"gateway_slow", func(f *Fleet) (func(*Hollow) bool, func() error, error) {
		h := f.Gateways[victim]
		h.slow.Store(int64(f.Size.Lease / 20))
		h.fault(rig.Fault{Delay: f.Size.Lease / 20})
		return nobody, func() error { h.slow.Store(0); h.fault(rig.Fault{}); return nil }, nil
	}},
	{"gateway_stopped", func(f *Fleet) (func(*Hollow) bool, func() error, error) {
		h := f.Gateways[victim]
		h.gate.Lock()
		return only(h), func() error { h.gate.Unlock(); return nil }, nil
	}},
	{"gateway_mute", func(f *Fleet) (func(*Hollow) bool, func() error, error) {
		return f.faulty(rig.Fault{DropForward: true})
	}},
	{"gateway_deaf", func(f *Fleet) (func(*Hollow) bool, func() error, error) { return f.faulty(rig.Fault{DropReturn: true}) }},
}

// FaultNames are their names.
func FaultNames() (list []string) {
	for _, t := range troubles {
		list = append(list, t.name)
	}
	return list
}

func nothing() error { return nil }

// only is a gateway that is out, and no other.
func only(h *Hollow) func(*Hollow) bool { return func(o *Hollow) bool { return o == h } }

// killed kills gateways, which are out until they are started again.
func (f *Fleet) killed(list []*Hollow) (func(*Hollow) bool, func() error, error) {
	f.kill(list)
	gone := map[*Hollow]bool{}
	for _, h := range list {
		gone[h] = true
	}
	return func(h *Hollow) bool { return gone[h] }, func() error { return f.start(f.startable(list)) }, nil
}

// keeperKilled kills a keeper, which nobody is out by.
func (f *Fleet) keeperKilled(k *keeper, err error) (func(*Hollow) bool, func() error, error) {
	if err != nil {
		return nil, nil, err
	}
	k.kill()
	return nobody, func() error { return f.startKeeper(k) }, nil
}

// faulty has the victim's links be faulty.
func (f *Fleet) faulty(fault rig.Fault) (func(*Hollow) bool, func() error, error) {
	h := f.Gateways[victim]
	h.fault(fault)
	return only(h), func() error { h.fault(rig.Fault{}); return nil }, nil
}

func (h *Hollow) fault(to rig.Fault) {
	for _, l := range h.private {
		l.SetFault(to)
	}
}

// cut has all links between regions be faulty.
func (f *Fleet) cut(to rig.Fault) {
	for _, l := range f.between {
		l.SetFault(to)
	}
}

// minority is the region that has fewer keepers.
func (f *Fleet) minority() int {
	count := [2]int{}
	for _, region := range f.Size.ReplicaRegions {
		count[region]++
	}
	if count[0] < count[1] {
		return 0
	}
	return 1
}

// inForce makes changes under each single fault.
func inForce(f *Fleet, r *Result) error {
	for _, t := range troubles {
		if len(f.Size.Faults) > 0 && !slices.Contains(f.Size.Faults, t.name) {
			continue
		}
		var each, last, announced []float64
		for round := range f.Size.ChangesPerFault {
			out, end, err := t.begin(f)
			if err != nil {
				return err
			}
			c, err := f.propose("a change under "+t.name, tune)
			if err != nil {
				return err
			}
			announced = append(announced, float64(monotonic()-c.At)/1e6)
			if h := f.flawed(); round == 0 {
				h.lost.Store(c.Version)
			}
			list := f.await(c.Version, out)
			took := f.took(c, out)
			each, last = append(each, took...), append(last, meter.QuantilesOf(took).Worst)
			if err := end(); err != nil {
				return err
			}
			if list = append(list, f.await(c.Version, nobody)...); len(list) > 0 {
				r.broke("under %s: %v", t.name, list)
				return nil
			}
			f.forget()
			time.Sleep(f.Size.Lease / 10) // what the end of a fault has set off is over
		}
		r.Distributions["in_force_ms."+t.name], r.Distributions["last_ms."+t.name] = meter.QuantilesOf(each), meter.QuantilesOf(last)
		r.Distributions["announced_ms."+t.name] = meter.QuantilesOf(announced)
		r.bound("in force under "+t.name, r.Distributions["last_ms."+t.name].Worst, float64(inForceBound.Milliseconds()))
		f.opt.Note("under %s, ms: %+v", t.name, r.Distributions["in_force_ms."+t.name])
		if err := r.audit(f); err != nil {
			return err
		}
	}
	r.ends(f, 0)
	return nil
}
