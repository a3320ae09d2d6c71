package rules

import "math"

// Lapsed is the floor of a version: what a gateway may act on whose lease has run out. Nothing that spends a common budget
// goes on, and cold nodes are left alone, as what the others send them is unknown. A floor without a time is nothing.
func (r *Rules) Lapsed() *Rules {
	if r.Floor.For == 0 {
		return r.Nothing()
	}
	f := Meet(r, r)
	f.Further.Free, f.Further.Share = 0, 0
	f.Cold.Multiple, f.Cold.Units = 0, 0
	f.Sending.Most, f.Sending.SecondCopies = 1, false
	for name, p := range f.Plans {
		p.Limit, p.Burst, p.Slack = p.Limit*r.Floor.Limits, p.Burst*r.Floor.Limits, p.Slack*r.Floor.Limits
		if r.Plans[name].Limit > 0 && p.Limit == 0 { // a limit of 0 would be none
			delete(f.Plans, name)
			continue
		}
		f.Plans[name] = p
	}
	for name, p := range f.Products {
		if !r.Floor.Writes && p.Kind != Anywhere {
			delete(f.Products, name)
			continue
		}
		p.InTurn = true
		f.Products[name] = p
	}
	return f
}

// Nothing is what a gateway may act on that knows nothing any more: no node is served.
func (r *Rules) Nothing() *Rules {
	f := Meet(r, r)
	clear(f.Plans)
	clear(f.Products)
	clear(f.Nodes)
	f.Further.Free, f.Further.Share, f.Cold.Multiple, f.Cold.Units = 0, 0, 0, 0
	f.Sending = Sending{Most: 1, KeyRest: math.MaxInt64}
	f.Cold.From, f.Cold.Time = 0, math.MaxInt64
	f.Needs = math.MaxInt32 // within any
	return f
}
