package lease

import (
	"sync"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/delta"
)

// Contents travel apart from grants in the world: as deltas or whole, from any keeper, lost, late, spoilt, mixed up; what a gateway had on
// its disk when it starts again may be old.

// startCache is a start with what is on the disk.
func (h *gateway) startCache(w *world) {
	var flaws content.InjectedFaults
	if w.faults.Has(faultUncheckedDigest) {
		flaws = content.FaultNoDigestCheck
	}
	if w.faults.Has(faultStaleDisk) {
		flaws |= content.FaultStaleCacheFile
	}
	var spool []byte
	if n := len(h.diskContents); n > 0 && w.chance(0.8) {
		spool = h.diskContents[max(n-1-w.rand.IntN(3), 0)]
	}
	h.cache = content.NewCache(spool, flaws)
}

// encodedContents is what was coded already, in all runs: the pool is small.
var encodedContents sync.Map

func encode(base, bytes []byte) []byte {
	key := content.DeltaKey{Base: string(base), Digest: string(bytes)}
	if c, there := encodedContents.Load(key); there {
		return c.([]byte)
	}
	c, err := delta.Encode(base, bytes)
	if err != nil {
		panic(err)
	}
	encodedContents.Store(key, c)
	return c
}

// fetchContents gets the contents that a grant names and has it heard with what was had in time.
func (w *world) fetchContents(h *gateway, f *Client, g *RenewResponse) {
	var digests []string
	for _, v := range f.VersionsOf(g) {
		digests = append(digests, v.Digest)
	}
	if !h.fullVersions {
		h.cache.Retain(digests...)
	}
	till := w.now + leaseDuration/4
	var next func(left []*configversion.Version, at *content.Fetch)
	again := func(after Time, left []*configversion.Version, at *content.Fetch) {
		w.post(after, func() { next(left, at) })
	}
	next = func(left []*configversion.Version, at *content.Fetch) {
		switch {
		case h.client != f:
			return
		case h.stopped:
			again(leaseDuration/10, left, at)
			return
		case at != nil && at.State() == content.StateInProgress && w.now < till:
			w.fetchFromReplica(h, f, at, func() { next(left, at) })
			return
		case len(left) > 0 && len(left[0].Content) > 0:
			next(left[1:], nil)
			return
		case len(left) > 0 && at == nil && w.now < till:
			next(left, h.cache.Fetch(left[0].Digest, len(w.replicas)))
			return
		}
		if len(left) > 0 {
			if c := h.cache.Content(left[0].Digest); c != nil {
				left[0].Content = c
				if w.faults.Has(faultUncheckedDigest) || w.faults.Has(faultStaleDisk) {
					left[0].Digest = configversion.DigestOf(c)
				}
				h.diskContents = append(h.diskContents, c)
			}
			next(left[1:], nil)
			return
		}
		f.HandleResponse(h.at(w.now), g)
	}
	next(g.Versions, nil)
}

// fetchFromReplica asks a keeper for a content, whichever, as any may answer.
func (w *world) fetchFromReplica(h *gateway, f *Client, at *content.Fetch, then func()) {
	r := at.NextRequest()
	k := w.replicas[w.rand.IntN(len(w.replicas))]
	there, back := w.delay(), w.delay()
	if there < 0 || back < 0 || h.cut {
		w.post(leaseDuration/8, func() { at.HandleFailure(); then() })
		return
	}
	w.post(there/2, func() {
		v := k.state.VersionByDigest(r.Digest)
		if v != nil && !w.healed && w.chance(0.1) { // another's answer
			v = w.committed.Versions[w.rand.IntN(len(w.committed.Versions))]
		}
		w.post(back/2, func() {
			defer then()
			if v == nil {
				at.HandleFailure()
				return
			}
			coding, base := content.EncodingZstd, []byte(nil)
			if b := k.state.VersionByDigest(r.Base); b != nil {
				coding, base = content.EncodingDelta, b.Content
			}
			c := encode(base, v.Content)
			if !w.healed && w.chance(0.1) {
				c = append([]byte(nil), c...)
				c[w.rand.IntN(len(c))] ^= 1 << w.rand.IntN(8)
			}
			at.HandleResponse(r, coding, c) // what is wrong with it is seen in what is done next
		})
	})
}
