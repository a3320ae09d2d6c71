package lease

import (
	"strconv"
	"sync"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/delta"
)

type gateway struct {
	clock
	client       *Client // of the current run
	stopped      bool
	disconnected bool     // its messages are lost
	onlyReplica  *replica // the only replica that it can reach; nil: all
	fullVersions bool     // uses the request format of earlier builds and receives versions with contents
	cache        *content.Cache
	diskContents [][]byte // contents ever written to its disk, oldest first
}

// startGateway starts or restarts a gateway, which knows nothing but the content on its disk. That content may be
// stale.
func (w *world) startGateway(g *gateway) {
	w.startCount++
	g.client = NewClient("g"+strconv.Itoa(w.startCount), leaseDuration/4, w.faults)
	var faults content.InjectedFaults
	if w.faults.Has(faultUncheckedDigest) {
		faults |= content.FaultNoDigestCheck
	}
	if w.faults.Has(faultStaleDisk) {
		faults |= content.FaultStaleCacheFile
	}
	var stored []byte
	if n := len(g.diskContents); n > 0 && w.chance(0.8) {
		stored = g.diskContents[max(n-1-w.rand.IntN(3), 0)]
	}
	g.cache = content.NewCache(stored, faults)
}

// sendRequest has a gateway send a request to a replica that believes that it leads.
func (w *world) sendRequest(g *gateway) {
	if g.stopped {
		return
	}
	r := w.leader
	if other := w.replicas[w.rand.IntN(len(w.replicas))]; other.manager != nil {
		r = other
	}
	if g.onlyReplica != nil && g.onlyReplica.manager != nil {
		r = g.onlyReplica
	}
	client := g.client
	request := client.NextRequest(g.at(w.now))
	if g.fullVersions {
		request.Format = 0
	}
	delay := w.delay()
	if delay < 0 || g.disconnected {
		return
	}
	receive := func(response *RenewResponse) { w.receive(g, client, response) }
	w.schedule(delay, func() { w.receiveRequest(r, request, receive) })
}

// receiveRequest has a replica confirm its leadership and then answer a request.
func (w *world) receiveRequest(r *replica, request *RenewRequest, receive func(*RenewResponse)) {
	term := r.term
	respond := func(confirmed bool, end int) {
		if r.manager == nil || r.term != term || !confirmed && !w.faults.Has(faultUnconfirmedLeader) {
			return
		}
		if confirmed {
			w.apply(r, end)
		}
		response := r.manager.Renew(r.at(w.now), request)
		if delay := w.delay(); delay >= 0 {
			w.schedule(delay, func() { receive(response) })
		}
	}
	w.schedule(max(w.delay(), 0)/4, func() {
		confirmed := r == w.leader && r.term == term
		end := len(w.log)
		w.schedule(max(w.delay(), 0)/4, func() { respond(confirmed, end) })
	})
}

// receive has a gateway process a response, unless it was restarted since it sent the request.
func (w *world) receive(g *gateway, client *Client, response *RenewResponse) {
	switch {
	case g.client != client: // the gateway was restarted
	case g.stopped:
		w.schedule(leaseDuration/10, func() { w.receive(g, client, response) })
	default:
		w.fetchContents(g, client, response)
	}
}

// contentFetch fetches the contents of a response's versions one after the other, then passes the response to the
// client with those contents that arrived before the deadline.
type contentFetch struct {
	world    *world
	gateway  *gateway
	client   *Client
	response *RenewResponse
	deadline Time
}

// fetchContents fetches the contents that a response names, from any replica, as deltas or complete. Some are lost,
// late or corrupt, or belong to another version.
func (w *world) fetchContents(g *gateway, client *Client, response *RenewResponse) {
	var digests []string
	for _, v := range client.VersionsOf(response) {
		digests = append(digests, v.Digest)
	}
	if !g.fullVersions {
		g.cache.Retain(digests...)
	}
	f := &contentFetch{w, g, client, response, w.now + leaseDuration/4}
	f.next(response.Versions, nil)
}

// next continues with the remaining versions. If fetch is not nil, the first of them is being fetched.
func (f *contentFetch) next(left []*configversion.Version, fetch *content.Fetch) {
	w, g := f.world, f.gateway
	inTime := w.now < f.deadline
	switch {
	case g.client != f.client: // the gateway was restarted
	case g.stopped:
		w.schedule(leaseDuration/10, func() { f.next(left, fetch) })
	case fetch != nil && fetch.State() == content.StateInProgress && inTime:
		w.fetchFromReplica(g, fetch, func() { f.next(left, fetch) })
	case len(left) == 0:
		f.client.HandleResponse(g.at(w.now), f.response)
	case len(left[0].Content) > 0:
		f.next(left[1:], nil)
	case fetch == nil && inTime:
		f.next(left, g.cache.Fetch(left[0].Digest, len(w.replicas)))
	default:
		f.finish(left[0])
		f.next(left[1:], nil)
	}
}

// finish sets a version's content if it was fetched.
func (f *contentFetch) finish(version *configversion.Version) {
	fetched := f.gateway.cache.Content(version.Digest)
	if fetched == nil {
		return
	}
	version.Content = fetched
	if f.world.faults.Has(faultUncheckedDigest) || f.world.faults.Has(faultStaleDisk) {
		version.Digest = configversion.DigestOf(fetched)
	}
	f.gateway.diskContents = append(f.gateway.diskContents, fetched)
}

// fetchFromReplica requests content from a random replica, as followers may answer such requests too.
func (w *world) fetchFromReplica(g *gateway, fetch *content.Fetch, then func()) {
	request := fetch.NextRequest()
	r := w.replicas[w.rand.IntN(len(w.replicas))]
	there, back := w.delay(), w.delay()
	if there < 0 || back < 0 || g.disconnected {
		w.schedule(leaseDuration/8, func() {
			fetch.HandleFailure()
			then()
		})
		return
	}
	w.schedule(there/2, func() {
		version := r.state.VersionByDigest(request.Digest)
		if version != nil && !w.healed && w.chance(0.1) { // answer with the content of another version
			version = w.committed.Versions[w.rand.IntN(len(w.committed.Versions))]
		}
		w.schedule(back/2, func() {
			w.answerContent(r, fetch, request, version)
			then()
		})
	})
}

// answerContent passes a version's content to a fetch, as a delta if the replica has the base. Some answers are
// corrupted.
func (w *world) answerContent(
	r *replica, fetch *content.Fetch, request content.Request, version *configversion.Version,
) {
	if version == nil {
		fetch.HandleFailure()
		return
	}
	coding, base := content.EncodingZstd, []byte(nil)
	if b := r.state.VersionByDigest(request.Base); b != nil {
		coding, base = content.EncodingDelta, b.Content
	}
	encoded := encodeOnce(base, version.Content)
	if !w.healed && w.chance(0.1) {
		encoded = append([]byte(nil), encoded...)
		encoded[w.rand.IntN(len(encoded))] ^= 1 << w.rand.IntN(8)
	}
	_ = fetch.HandleResponse(request, coding, encoded) // errors show in the fetch's state
}

// encodedContents caches encoded contents across runs, as there are few distinct ones.
var encodedContents sync.Map

func encodeOnce(base, bytes []byte) []byte {
	key := content.DeltaKey{Base: string(base), Digest: string(bytes)}
	if encoded, known := encodedContents.Load(key); known {
		return encoded.([]byte)
	}
	encoded, err := delta.Encode(base, bytes)
	if err != nil {
		panic(err)
	}
	encodedContents.Store(key, encoded)
	return encoded
}
