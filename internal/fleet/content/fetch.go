package content

import (
	"errors"
	"fmt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// Reasons why a response is rejected, in addition to the errors of package delta.
var (
	ErrDigestMismatch = errors.New("digest mismatch")
	// ErrUnexpectedEncoding rejects a response in an encoding that the request did not offer.
	ErrUnexpectedEncoding = errors.New("unexpected content encoding")
)

// Request describes a request for a content to a replica.
type Request struct {
	Replica     int    // index of the replica, counted from the one that granted the lease
	Digest      string // digest of the content
	Base        string // digest of the offered base; empty: none, the full content is requested
	baseContent []byte
}

// BaseHash returns the SHA-256 that identifies the base in addition to its digest.
func (r Request) BaseHash() [32]byte { return delta.BaseHash(r.baseContent) }

// State is the state of a fetch. Only Fetch.setState changes it.
type State uint8

// The states of a fetch.
const (
	StateInProgress State = iota // NextRequest returns the request to send
	StateDone                    // the content is cached
	StateFailed                  // no replica returned it; the next lease names it again
)

var stateNames = [...]string{"in progress", "done", "failed"}

// String returns the name of a state.
func (s State) String() string { return stateNames[s] }

// Fetch downloads one content. It requests a delta from a cached base, then the full content if the delta is
// rejected, and tries one replica after the other.
type Fetch struct {
	cache    *Cache
	digest   string
	replicas int // number of replicas to try
	replica  int // index of the current one, counted from the one that granted the lease
	state    State
}

// Fetch starts to download a content from the given number of replicas. It is done at once if the content is cached.
func (c *Cache) Fetch(digest string, replicas int) *Fetch {
	f := &Fetch{cache: c, digest: digest, replicas: replicas}
	if c.Content(digest) != nil {
		f.setState(StateDone)
	}
	return f
}

func (f *Fetch) setState(state State) { f.state = state }

// State returns the state of the fetch.
func (f *Fetch) State() State { return f.state }

// NextRequest returns the request to send next while the fetch is in progress.
func (f *Fetch) NextRequest() Request {
	r := Request{Replica: f.replica, Digest: f.digest}
	if !f.cache.fullOnly[f.digest] {
		r.Base = f.cache.base()
		r.baseContent = f.cache.contents[r.Base]
	}
	return r
}

// HandleFailure moves on to the next replica, as the current one does not have the content or did not respond.
func (f *Fetch) HandleFailure() {
	f.replica++
	if f.replica >= f.replicas {
		f.setState(StateFailed)
	}
}

// HandleResponse handles the response to a request. After a rejected delta the full content is requested, once;
// after a rejected full content the next replica is tried. The error gives the reason for a rejection.
func (f *Fetch) HandleResponse(request Request, encoding string, encoded []byte) error {
	content, err := f.decode(request, encoding, encoded)
	if err != nil {
		f.handleRejection(request)
		return fmt.Errorf("content %.8s in encoding %q, %d bytes, base %.8s: %w",
			request.Digest, encoding, len(encoded), request.Base, err)
	}
	f.cache.contents[request.Digest] = content
	f.cache.lastFetched = request.Digest
	delete(f.cache.fullOnly, request.Digest)
	f.setState(StateDone)
	return nil
}

// decode decodes a response and checks its digest.
func (f *Fetch) decode(request Request, encoding string, encoded []byte) ([]byte, error) {
	base, err := f.deltaBase(request, encoding)
	if err != nil {
		return nil, err
	}
	content, err := delta.Decode(base, encoded, configversion.MaxContentBytes)
	if err != nil {
		return nil, err
	}
	if digest := configversion.DigestOf(content); digest != request.Digest && !f.cache.faults.Has(FaultNoDigestCheck) {
		return nil, fmt.Errorf("%w: got %.8s", ErrDigestMismatch, digest)
	}
	return content, nil
}

// deltaBase returns the base to decode a response with, or nil if the response is a full content.
func (f *Fetch) deltaBase(request Request, encoding string) ([]byte, error) {
	if encoding == EncodingZstd {
		return nil, nil
	}
	if encoding != EncodingDelta || request.Base == "" {
		return nil, ErrUnexpectedEncoding
	}
	if latest := f.cache.contents[f.cache.lastFetched]; f.cache.faults.Has(FaultWrongBase) && latest != nil {
		return latest, nil
	}
	return request.baseContent, nil
}

// handleRejection switches to requesting the full content, or to the next replica if that was requested already.
func (f *Fetch) handleRejection(request Request) {
	if request.Base == "" {
		f.HandleFailure()
		return
	}
	f.cache.fullOnly[f.digest] = true
}
