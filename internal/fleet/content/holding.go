// Package content decides how contents of versions travel: what a gateway has of them and asks for (Holding, Fetch), and what a keeper
// keeps ready for who asks (Shelf). It is pure. A content is named by its BLAKE3 digest, never changes, and counts only once that was
// checked; a base by its digest and its SHA-256, as RFC 9842 has it.
package content

import (
	"errors"
	"fmt"
	"slices"

	"irispost/internal/fleet/delta"
	"irispost/internal/fleet/rules"
)

// Codings of an answer, as Content-Encoding has them.
const (
	Delta = "dcz"
	Whole = "zstd"
)

// Flaws are defects that tests put in on purpose, to prove that what looks for defects finds them. Nothing else sets them.
type Flaws uint8

const (
	NoDigest  Flaws = 1 << iota // the digest of what has come is not checked
	OtherBase                   // a delta is unpacked on the content that came last, not on the base that was named
	OldSpool                    // what the disk had counts as any content
)

// Has tells whether one is among them.
func (f Flaws) Has(one Flaws) bool { return f&one != 0 }

// ErrDigest tells of a content that is another than was asked for.
var ErrDigest = errors.New("it has another digest")

// Holding is the contents that a gateway has: those that the last grant named, and one more as a base.
type Holding struct {
	have  map[string][]byte // by digest
	named []string          // by the last grant, the one in force first
	spare string            // the one more; "": none
	last  string            // that came last
	whole map[string]bool   // no delta of them is asked for any more, as one did not unpack
	flaws Flaws
}

// Hold is the holding of a gateway that has nothing, or what its disk had, under its own digest. That is a base; it is acted on only where
// a grant names its digest.
func Hold(spool []byte, flaws Flaws) *Holding {
	h := &Holding{have: map[string][]byte{}, whole: map[string]bool{}, flaws: flaws}
	if len(spool) > 0 {
		h.spare = rules.Sum(spool)
		h.have[h.spare] = spool
	}
	return h
}

// Named tells what the last grant names, the one in force first. Of the others that are held, the one that was in use last stays.
func (h *Holding) Named(digests ...string) {
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
func (h *Holding) Content(digest string) []byte {
	if h.flaws.Has(OldSpool) && h.have[digest] == nil && h.spare != "" {
		return h.have[h.spare]
	}
	return h.have[digest]
}

// Take holds a content that came some other way, if it is the one.
func (h *Holding) Take(digest string, content []byte) bool {
	if rules.Sum(content) != digest {
		return false
	}
	h.have[digest] = content
	return true
}

// Held are the digests of all that is held, in order.
func (h *Holding) Held() (list []string) {
	for d := range h.have {
		list = append(list, d)
	}
	slices.Sort(list)
	return list
}

// base is the one that a delta is asked from: what is in force, else what else is held; "": none.
func (h *Holding) base() string {
	for _, d := range append(slices.Clone(h.named), h.spare) {
		if h.have[d] != nil {
			return d
		}
	}
	return ""
}

// Request is what to ask a keeper for.
type Request struct {
	Keeper int    // which, as counted from the one that gave the grant
	Digest string // of the content
	Base   string // the digest of the base that is offered; "": none, the whole is asked for
	base   []byte
}

// Sum is how the base is named beside its digest.
func (r Request) Sum() [32]byte { return delta.Base(r.base) }

// State is how far a fetch is. Only Fetch.move changes it.
type State uint8

const (
	Asking State = iota
	Had
	Over // nobody had it; it is asked for again with the next grant
)

// Fetch is the way to one content: a delta from what is held, the whole where that does not unpack, of each keeper in turn.
type Fetch struct {
	hold    *Holding
	digest  string
	keepers int
	at      int // the keeper that is asked, counted from the one that gave the grant
	state   State
}

// Fetch begins to get a content, from so many keepers.
func (h *Holding) Fetch(digest string, keepers int) *Fetch {
	f := &Fetch{hold: h, digest: digest, keepers: keepers}
	if h.Content(digest) != nil {
		f.move(Had)
	}
	return f
}

func (f *Fetch) move(to State) { f.state = to }

// State is how far it is.
func (f *Fetch) State() State { return f.state }

// Next is what to ask for now, while it is Asking.
func (f *Fetch) Next() Request {
	r := Request{Keeper: f.at, Digest: f.digest}
	if !f.hold.whole[f.digest] {
		r.Base = f.hold.base()
		r.base = f.hold.have[r.Base]
	}
	return r
}

// Failed tells that a keeper does not have the content, or gave no answer: the next one is asked.
func (f *Fetch) Failed() {
	if f.at++; f.at >= f.keepers {
		f.move(Over)
	}
}

// Answered takes in what has come. Where a delta does not come to the content, the whole is asked for, once; where a whole does not, the
// next keeper is asked. The error tells what was wrong.
func (f *Fetch) Answered(r Request, coding string, coded []byte) error {
	h := f.hold
	base := r.base
	switch {
	case coding == Whole:
		base = nil
	case coding != Delta || r.Base == "":
		f.wrong(r)
		return fmt.Errorf("content %.8s came as %q, which was not asked for", r.Digest, coding)
	case h.flaws.Has(OtherBase) && h.have[h.last] != nil:
		base = h.have[h.last]
	}
	content, err := delta.Decode(base, coded, rules.Most)
	if err == nil && rules.Sum(content) != r.Digest && !h.flaws.Has(NoDigest) {
		err = fmt.Errorf("%w, %.8s", ErrDigest, rules.Sum(content))
	}
	if err != nil {
		f.wrong(r)
		return fmt.Errorf("content %.8s came as %s of %d bytes from base %.8s: %w", r.Digest, coding, len(coded), r.Base, err)
	}
	h.have[r.Digest], h.last = content, r.Digest
	delete(h.whole, r.Digest)
	f.move(Had)
	return nil
}

// wrong has the whole be asked for, or the next keeper where that was.
func (f *Fetch) wrong(r Request) {
	if r.Base == "" {
		f.Failed()
		return
	}
	f.hold.whole[f.digest] = true
}
