package lease

// batch is how many versions have to be there to be forgotten before that is put into the log: an entry costs a round to all keepers.
const batch = 32

// mostForgotten is how many versions an entry has forgotten at most: their contents are coded for the history where they did not come so.
const mostForgotten = 64

// retention is what of the versions is kept. Only the leading keeper knows what gateways may act on, so it names what is to be forgotten.
type retention struct {
	on           bool // entries of form 2 are read by all keepers
	bases, batch int
	next         Time // not looked at before
}

// AllowForget tells whether all keepers read entries that have them forget versions; none is forgotten before.
func (w *Manager) AllowForget(may bool) { w.retain.on = may }

// forgettable lists the versions that nobody acts on or can come to act on any more, and that no delta needs; nil: none, or too few to be
// worth an entry. A version is acted on, or its floor is, by a gateway that said so or may have taken a grant with it, until its lease
// and floor have run out. What gateways that were not heard in this term act on is not known, so nothing is forgotten before their time is over.
func (w *Manager) forgettable(now Time) (list []uint64) {
	l, r := w.ledger, &w.retain
	if !r.on || now < r.next || len(l.Versions) < r.bases+r.batch || w.flaws.Has(FaultForgetNothing) {
		return nil
	}
	r.next = now + l.Settings.LeaseDuration/4
	acted := map[uint64]bool{l.InForce: true, l.Announced: true}
	for name := range l.Holders {
		h := w.holders[name]
		if w.flaws.Has(FaultForgetHeldVersions) {
			break
		}
		if h == nil || h.unknown > 0 && now <= max(h.lease, h.unknown) {
			return nil
		}
		if now > max(h.lease, h.floor) {
			continue
		}
		for _, n := range h.holds {
			acted[n] = true
		}
		for _, g := range h.granted {
			acted[g.inForce], acted[g.announced] = true, true
		}
	}
	for _, v := range l.Versions {
		if v.Number+uint64(r.bases) < l.Announced && !acted[v.Number] && len(list) < mostForgotten {
			list = append(list, v.Number)
		}
	}
	if len(list) < r.batch {
		return nil
	}
	return list
}
