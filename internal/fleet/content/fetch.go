package content

import (
	"errors"
	"fmt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// Why a response is rejected, beside the errors of package delta.
var (
	ErrDigestMismatch = errors.New("another digest than was requested")
	// ErrUnexpectedEncoding is of a response in an encoding that the request did not offer.
	ErrUnexpectedEncoding = errors.New("unexpected content encoding")
)

// Request is what to request from a replica.
type Request struct {
	Replica     int    // which, counted from the one that granted the lease
	Digest      string // of the content
	Base        string // digest of the base that is offered; "": none, the full content is requested
	baseContent []byte
}

// BaseHash is the SHA-256 by which the base is named beside its digest.
func (r Request) BaseHash() [32]byte { return delta.BaseHash(r.baseContent) }

// State is how far a fetch has come. Only Fetch.setState changes it.
type State uint8

// The states of a fetch.
const (
	StateInProgress State = iota // NextRequest says what to request
	StateDone                    // the content is cached
	StateFailed                  // no replica had it; the next lease names it again
)

var stateNames = [...]string{"in progress", "done", "failed"}

// String names a state.
func (s State) String() string { return stateNames[s] }

// Fetch gets one content: as a delta from a cached one, in full where that does not decode, from one replica
// after the other.
type Fetch struct {
	cache    *Cache
	digest   string
	replicas int // their number
	replica  int // the one that is called, counted from the one that granted the lease
	state    State
}

// Fetch begins to get a content from a number of replicas. It is done at once if the content is cached.
func (c *Cache) Fetch(digest string, replicas int) *Fetch {
	f := &Fetch{cache: c, digest: digest, replicas: replicas}
	if c.Content(digest) != nil {
		f.setState(StateDone)
	}
	return f
}

func (f *Fetch) setState(state State) { f.state = state }

// State is how far the fetch has come.
func (f *Fetch) State() State { return f.state }

// NextRequest is what to request now, while the fetch is in progress.
func (f *Fetch) NextRequest() Request {
	r := Request{Replica: f.replica, Digest: f.digest}
	if !f.cache.fullOnly[f.digest] {
		r.Base = f.cache.base()
		r.baseContent = f.cache.contents[r.Base]
	}
	return r
}

// HandleFailure notes that a replica does not have the content, or did not respond: the next one is called.
func (f *Fetch) HandleFailure() {
	f.replica++
	if f.replica >= f.replicas {
		f.setState(StateFailed)
	}
}

// HandleResponse takes the response to a request. Where a delta does not give the content, the full content is
// requested, once; where a full one does not, the next replica is called. The error says why a response is
// rejected.
func (f *Fetch) HandleResponse(request Request, encoding string, encoded []byte) error {
	content, err := f.decode(request, encoding, encoded)
	if err != nil {
		f.handleRejection(request)
		return fmt.Errorf("content %.8s as %q of %d bytes from base %.8s: %w",
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
		return nil, fmt.Errorf("%w: %.8s", ErrDigestMismatch, digest)
	}
	return content, nil
}

// decodeBase is the base that a response was encoded with; nil: it is a full content.
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

// rejected has the full content be requested, or the next replica be called if it was.
func (f *Fetch) handleRejection(request Request) {
	if request.Base == "" {
		f.HandleFailure()
		return
	}
	f.cache.fullOnly[f.digest] = true
}
