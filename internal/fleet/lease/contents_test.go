package lease

import (
	"sync"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/delta"
)

// Contents travel apart from grants in the world: as deltas or whole, from any keeper, lost, late, spoilt, mixed up; what a gateway had on
// its disk when it starts again may be old.

// begin is a start with what is on the disk.
func (h *host) begin(w *world) {
	var flaws content.InjectedFaults
	if w.flaws.Has(noDigest) {
		flaws = content.FaultNoDigestCheck
	}
	if w.flaws.Has(oldSpool) {
		flaws |= content.FaultStaleCacheFile
	}
	var spool []byte
	if n := len(h.spool); n > 0 && w.chance(0.8) {
		spool = h.spool[max(n-1-w.rand.IntN(3), 0)]
	}
	h.hold = content.NewCache(spool, flaws)
}

// coded is what was coded already, in all runs: the pool is small.
var coded sync.Map

func encode(base, bytes []byte) []byte {
	key := content.DeltaKey{Base: string(base), Digest: string(bytes)}
	if c, there := coded.Load(key); there {
		return c.([]byte)
	}
	c, err := delta.Encode(base, bytes)
	if err != nil {
		panic(err)
	}
	coded.Store(key, c)
	return c
}

// fetch gets the contents that a grant names and has it heard with what was had in time.
func (w *world) fetch(h *host, f *Client, g *RenewResponse) {
	var digests []string
	for _, v := range f.VersionsOf(g) {
		digests = append(digests, v.Digest)
	}
	if !h.before {
		h.hold.Retain(digests...)
	}
	till := w.now + lease/4
	var next func(left []*configversion.Version, at *content.Fetch)
	again := func(after Time, left []*configversion.Version, at *content.Fetch) {
		w.post(after, func() { next(left, at) })
	}
	next = func(left []*configversion.Version, at *content.Fetch) {
		switch {
		case h.f != f:
			return
		case h.stopped:
			again(lease/10, left, at)
			return
		case at != nil && at.State() == content.StateInProgress && w.now < till:
			w.content(h, f, at, func() { next(left, at) })
			return
		case len(left) > 0 && len(left[0].Content) > 0:
			next(left[1:], nil)
			return
		case len(left) > 0 && at == nil && w.now < till:
			next(left, h.hold.Fetch(left[0].Digest, len(w.keepers)))
			return
		}
		if len(left) > 0 {
			if c := h.hold.Content(left[0].Digest); c != nil {
				left[0].Content = c
				if w.flaws.Has(noDigest) || w.flaws.Has(oldSpool) {
					left[0].Digest = configversion.DigestOf(c)
				}
				h.spool = append(h.spool, c)
			}
			next(left[1:], nil)
			return
		}
		f.HandleResponse(h.at(w.now), g)
	}
	next(g.Versions, nil)
}

// content asks a keeper for a content, whichever, as any may answer.
func (w *world) content(h *host, f *Client, at *content.Fetch, then func()) {
	r := at.NextRequest()
	k := w.keepers[w.rand.IntN(len(w.keepers))]
	there, back := w.delay(), w.delay()
	if there < 0 || back < 0 || h.cut {
		w.post(lease/8, func() { at.HandleFailure(); then() })
		return
	}
	w.post(there/2, func() {
		v := k.ledger.VersionByDigest(r.Digest)
		if v != nil && !w.calm && w.chance(0.1) { // another's answer
			v = w.truth.Versions[w.rand.IntN(len(w.truth.Versions))]
		}
		w.post(back/2, func() {
			defer then()
			if v == nil {
				at.HandleFailure()
				return
			}
			coding, base := content.EncodingZstd, []byte(nil)
			if b := k.ledger.VersionByDigest(r.Base); b != nil {
				coding, base = content.EncodingDelta, b.Content
			}
			c := encode(base, v.Content)
			if !w.calm && w.chance(0.1) {
				c = append([]byte(nil), c...)
				c[w.rand.IntN(len(c))] ^= 1 << w.rand.IntN(8)
			}
			at.HandleResponse(r, coding, c) // what is wrong with it is seen in what is done next
		})
	})
}
