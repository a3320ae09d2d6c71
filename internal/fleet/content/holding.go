// Package content decides how contents of versions travel: what a gateway has of them and asks for (Holding, Fetch), and what a keeper
// keeps ready for who asks (Shelf). It is pure. A content is named by its BLAKE3 digest, never changes, and counts only once that was
// checked; a base by its digest and its SHA-256, as RFC 9842 has it.
package content

import (
	"errors"
	"fmt"
	"slices"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// Codings of an answer, as Content-Encoding has them.
const (
	EncodingDelta = "dcz"
	EncodingZstd  = "zstd"
)

// InjectedFaults are defects that tests put in on purpose, to prove that what looks for defects finds them. Nothing else sets them.
type InjectedFaults uint8

const (
	FaultNoDigestCheck  InjectedFaults = 1 << iota // the digest of what has come is not checked
	FaultWrongBase                                 // a delta is unpacked on the content that came last, not on the base that was named
	FaultStaleCacheFile                            // what the disk had counts as any content
)

// Has tells whether one is among them.
func (f InjectedFaults) Has(one InjectedFaults) bool { return f&one != 0 }

// ErrDigestMismatch tells of a content that is another than was asked for.
var ErrDigestMismatch = errors.New("it has another digest")

// Cache is the contents that a gateway has: those that the last grant named, and one more as a base.
type Cache struct {
	have  map[string][]byte // by digest
	named []string          // by the last grant, the one in force first
	spare string            // the one more; "": none
	last  string            // that came last
	whole map[string]bool   // no delta of them is asked for any more, as one did not unpack
	flaws InjectedFaults
}

// NewCache is the holding of a gateway that has nothing, or what its disk had, under its own digest. That is a base; it is acted on only where
// a grant names its digest.
func NewCache(spool []byte, flaws InjectedFaults) *Cache {
	h := &Cache{have: map[string][]byte{}, whole: map[string]bool{}, flaws: flaws}
	if len(spool) > 0 {
		h.spare = configversion.DigestOf(spool)
		h.have[h.spare] = spool
	}
	return h
}

// Retain tells what the last grant names, the one in force first. Of the others that are held, the one that was in use last stays.
func (h *Cache) Retain(digests ...string) {
	before := h.named
	h.named = slices.Clone(digests)
	for _, d := range before {
		if h.have[d] != nil && !slices.Contains(h.named, d) {
			h.spare = d
			break // the one in force before: what others come from as well
		}
	}
	for d := range h.have {
		if d != h.spare && !slices.Contains(h.named, d) {
			delete(h.have, d)
		}
	}
	for d := range h.whole {
		if !slices.Contains(h.named, d) {
			delete(h.whole, d)
		}
	}
}

// Content is a content by its digest; nil: it is not held.
func (h *Cache) Content(digest string) []byte {
	if h.flaws.Has(FaultStaleCacheFile) && h.have[digest] == nil && h.spare != "" {
		return h.have[h.spare]
	}
	return h.have[digest]
}

// Add holds a content that came some other way, if it is the one.
func (h *Cache) Add(digest string, content []byte) bool {
	if configversion.DigestOf(content) != digest {
		return false
	}
	h.have[digest] = content
	return true
}

// Digests are the digests of all that is held, in order.
func (h *Cache) Digests() (list []string) {
	for d := range h.have {
		list = append(list, d)
	}
	slices.Sort(list)
	return list
}

// base is the one that a delta is asked from: what is in force, else what else is held; "": none.
func (h *Cache) base() string {
	for _, d := range append(slices.Clone(h.named), h.spare) {
		if h.have[d] != nil {
			return d
		}
	}
	return ""
}

// Request is what to ask a keeper for.
type Request struct {
	Replica int    // which, as counted from the one that gave the grant
	Digest  string // of the content
	Base    string // the digest of the base that is offered; "": none, the whole is asked for
	base    []byte
}

// BaseHash is how the base is named beside its digest.
func (r Request) BaseHash() [32]byte { return delta.BaseHash(r.base) }

// State is how far a fetch is. Only Fetch.move changes it.
type State uint8

const (
	StateInProgress State = iota
	StateDone
	StateFailed // nobody had it; it is asked for again with the next grant
)

// Fetch is the way to one content: a delta from what is held, the whole where that does not unpack, of each keeper in turn.
type Fetch struct {
	hold    *Cache
	digest  string
	keepers int
	at      int // the keeper that is asked, counted from the one that gave the grant
	state   State
}

// Fetch begins to get a content, from so many keepers.
func (h *Cache) Fetch(digest string, keepers int) *Fetch {
	f := &Fetch{hold: h, digest: digest, keepers: keepers}
	if h.Content(digest) != nil {
		f.move(StateDone)
	}
	return f
}

func (f *Fetch) move(to State) { f.state = to }

// State is how far it is.
func (f *Fetch) State() State { return f.state }

// NextRequest is what to ask for now, while it is Asking.
func (f *Fetch) NextRequest() Request {
	r := Request{Replica: f.at, Digest: f.digest}
	if !f.hold.whole[f.digest] {
		r.Base = f.hold.base()
		r.base = f.hold.have[r.Base]
	}
	return r
}

// HandleFailure tells that a keeper does not have the content, or gave no answer: the next one is asked.
func (f *Fetch) HandleFailure() {
	if f.at++; f.at >= f.keepers {
		f.move(StateFailed)
	}
}

// HandleResponse takes in what has come. Where a delta does not come to the content, the whole is asked for, once; where a whole does not, the
// next keeper is asked. The error tells what was wrong.
func (f *Fetch) HandleResponse(r Request, coding string, coded []byte) error {
	h := f.hold
	base := r.base
	switch {
	case coding == EncodingZstd:
		base = nil
	case coding != EncodingDelta || r.Base == "":
		f.wrong(r)
		return fmt.Errorf("content %.8s came as %q, which was not asked for", r.Digest, coding)
	case h.flaws.Has(FaultWrongBase) && h.have[h.last] != nil:
		base = h.have[h.last]
	}
	content, err := delta.Decode(base, coded, configversion.MaxContentBytes)
	if err == nil && configversion.DigestOf(content) != r.Digest && !h.flaws.Has(FaultNoDigestCheck) {
		err = fmt.Errorf("%w, %.8s", ErrDigestMismatch, configversion.DigestOf(content))
	}
	if err != nil {
		f.wrong(r)
		return fmt.Errorf("content %.8s came as %s of %d bytes from base %.8s: %w", r.Digest, coding, len(coded), r.Base, err)
	}
	h.have[r.Digest], h.last = content, r.Digest
	delete(h.whole, r.Digest)
	f.move(StateDone)
	return nil
}

// wrong has the whole be asked for, or the next keeper where that was.
func (f *Fetch) wrong(r Request) {
	if r.Base == "" {
		f.HandleFailure()
		return
	}
	f.hold.whole[f.digest] = true
}
