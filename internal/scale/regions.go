package scale

import (
	"fmt"
	"time"

	"irispost/internal/fleet/replica"
	"irispost/internal/fleet/rig"
	"irispost/internal/scale/meter"
)

// regions cuts the regions from each other. Where the majority of the keepers is, changes go on: one that nobody's floor contradicts after
// a lease, one that replaces a node after the floor. Where it is not, none is announced, and gateways serve by their floor and then not at
// all. Together again all act on the newest.
func regions(f *Fleet, r *Result) error {
	minority := f.minority()
	away := func(h *Hollow) bool { return f.Size.region(h.zone) == minority }
	var there, here []string
	for _, k := range f.keepers {
		if k.region == minority {
			there = append(there, k.addr)
		} else {
			here = append(here, k.addr)
		}
	}
	f.cut(rig.Fault{DropForward: true, DropReturn: true})
	all := f.operator
	f.operator = &replica.Client{Replicas: here, Timeout: operatorWithin}
	c, err := f.propose("a change while the regions are cut", tune)
	if err != nil {
		return err
	}
	r.Violations = append(r.Violations, f.await(c.Version, away)...)
	r.Distributions["in_force_cut_ms"] = meter.QuantilesOf(f.took(c, away))
	shard := f.Size.Nodes / 2
	old, successor, change := replace(&f.Size, shard, 1)
	if c, err = f.propose("a node replaced while the regions are cut", change); err != nil {
		return err
	}
	r.Violations = append(r.Violations, f.await(c.Version, away)...)
	r.Distributions["replaced_cut_ms"] = meter.QuantilesOf(f.took(c, away))
	held := f.rules
	if _, err := f.proposeBy(&replica.Client{Replicas: there, Timeout: 2 * f.Size.Lease}, "a change without a majority", tune); err == nil {
		r.broke("a change was announced where no majority of the keepers is")
	}
	f.rules = held
	serving := 0
	for _, h := range f.Gateways { // the replacement is in force, so that their floors, which contradict it, are over
		if away(h) && h.acting() != "none" {
			serving++
		}
	}
	if list := f.poll(func() (list []string) {
		for _, h := range f.Gateways {
			if acts := h.acting(); away(h) && acts != "none" {
				list = append(list, fmt.Sprintf("%s acts on %s though its floor is over", h.Name, acts))
			}
		}
		return list
	}); len(list) > 0 {
		r.Violations = append(r.Violations, list...)
	}
	r.Figures["told_late_that_nothing_is_left"] = float64(serving)
	at := monotonic()
	f.cut(rig.Fault{})
	r.Violations = append(r.Violations, f.await(c.Version, nobody)...)
	r.Figures["together_again_ms"] = float64(monotonic()-at) / 1e6
	for _, h := range f.Gateways {
		turns, _ := h.seen()
		if _, broken := turned(turns, shard, old, successor); broken != "" {
			r.broke("%s, shard %d: %s", h.Name, shard, broken)
		}
	}
	f.operator = all
	if c, err = f.propose("a change together again", tune); err != nil {
		return err
	}
	r.Violations = append(r.Violations, f.await(c.Version, nobody)...)
	time.Sleep(f.Size.Lease / 10)
	r.ends(f, shard)
	return nil
}
