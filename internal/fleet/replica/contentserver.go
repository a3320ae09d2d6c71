package replica

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/delta"
)

// Request headers of RFC 9842. A gateway that has a base names it by its SHA-256 and by its BLAKE3 digest; replicas
// look it up by the latter.
const (
	headerBaseHash   = "Available-Dictionary"
	headerBaseDigest = "Dictionary-ID"
)

const (
	maxConcurrentEncodings = 2       // keeps processor time free for lease renewals
	maxConcurrentWrites    = 32      // of responses larger than smallResponseBytes
	smallResponseBytes     = 8 << 10 // responses up to this size are not limited, as a socket takes them at once
)

// ErrContentNotFound reports that a replica does not have the requested content.
var ErrContentNotFound = errors.New("this replica does not have the content")

// contentServer is the HTTP handler that serves the contents of versions by digest. Any replica serves them, whether
// it leads or not: a digest always identifies the same content. It runs outside of the owner goroutine, except for the
// first lookup of a digest.
type contentServer struct {
	replica       *Replica
	flight        singleflight.Group // one lookup or encoding at a time for each content
	encodingSlots chan struct{}      // holds a token for each encoding in progress
	writeSlots    chan struct{}      // holds a token for each large response in progress

	mutex       sync.Mutex // guards the fields below
	cache       *content.DeltaCache
	encodeCount int // number of encodings so far
}

func newContentServer(r *Replica) *contentServer {
	return &contentServer{
		replica:       r,
		cache:         content.NewDeltaCache(),
		encodingSlots: make(chan struct{}, maxConcurrentEncodings),
		writeSlots:    make(chan struct{}, maxConcurrentWrites),
	}
}

// ServeHTTP handles GET /content/{digest}: 200 with Content-Encoding dcz, zstd or none; 404 if this replica does not
// have the content.
func (s *contentServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	omitDefaultHeaders(w)
	found, ok := s.lookup(req.PathValue("digest"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !acceptsEncoding(req, content.EncodingZstd) {
		s.write(w, req, "", found.Bytes)
		return
	}
	base, key := s.baseFor(req, found.Digest)
	coding := content.EncodingDelta
	if key.Base == "" {
		coding = content.EncodingZstd
		base = nil
	}
	encoded, err := s.encode(key, base, found.Bytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.write(w, req, coding, encoded)
}

func acceptsEncoding(req *http.Request, coding string) bool {
	return strings.Contains(req.Header.Get("Accept-Encoding"), coding)
}

// baseFor returns the base that a request names and the cache key of the delta from it. The key has no base if the
// content cannot be encoded from one.
func (s *contentServer) baseFor(req *http.Request, digest string) (base []byte, key content.DeltaKey) {
	complete := content.DeltaKey{Digest: digest}
	hash, err := parseBaseHash(req.Header.Get(headerBaseHash))
	if err != nil || !acceptsEncoding(req, content.EncodingDelta) {
		return nil, complete
	}
	found, ok := s.lookup(strings.Trim(req.Header.Get(headerBaseDigest), `"`))
	if !ok {
		return nil, complete
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return found.Bytes, s.cache.KeyFor(digest, found.Digest, hash)
}

// parseBaseHash parses the SHA-256 of a base, which is sent as a byte sequence of RFC 8941.
func parseBaseHash(text string) (hash [sha256.Size]byte, err error) {
	inner, opened := strings.CutPrefix(text, ":")
	inner, closed := strings.CutSuffix(inner, ":")
	decoded, err := base64.StdEncoding.DecodeString(inner)
	if !opened || !closed || err != nil || len(decoded) != len(hash) {
		return hash, fmt.Errorf("%q is not the SHA-256 of a base", text)
	}
	return [sha256.Size]byte(decoded), nil
}

// cachedContent looks up a content in the cache.
func (s *contentServer) cachedContent(digest string) (content.Content, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cache.Content(digest)
}

// cachedEncoding looks up an encoding in the cache.
func (s *contentServer) cachedEncoding(key content.DeltaKey) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cache.Encoded(key)
}

// lookup returns the content with a digest; false if this replica does not have it, no longer has it, or does not have
// it yet.
func (s *contentServer) lookup(digest string) (content.Content, bool) {
	if found, ok := s.cachedContent(digest); ok || digest == "" {
		return found, ok
	}
	found, err, _ := s.flight.Do("find "+digest, func() (any, error) {
		if found, ok := s.cachedContent(digest); ok {
			return found, nil
		}
		return s.loadContent(digest)
	})
	if err != nil {
		return content.Content{}, false
	}
	return found.(content.Content), true
}

// loadContent copies the content with a digest from the state machine into the cache.
func (s *contentServer) loadContent(digest string) (content.Content, error) {
	// Not the context of one request, as all waiting requests share the result.
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	result := make(chan *configversion.Version, 1)
	s.replica.enqueue(ctx, func() { result <- s.replica.machine.VersionByDigest(digest) })
	select {
	case version := <-result:
		if version == nil || len(version.Content) == 0 {
			return content.Content{}, ErrContentNotFound
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.cache.AddContent(digest, version.Content), nil
	case <-ctx.Done():
		return content.Content{}, ErrContentNotFound
	case <-s.replica.stopped:
		return content.Content{}, ErrContentNotFound
	}
}

// encode returns a content as a delta from a base, or complete if base is nil. The result is cached, and concurrent
// requests share one encoding.
func (s *contentServer) encode(key content.DeltaKey, base, bytes []byte) ([]byte, error) {
	if encoded, ok := s.cachedEncoding(key); ok {
		return encoded, nil
	}
	encoded, err, _ := s.flight.Do("code "+key.Base+" "+key.Digest, func() (any, error) {
		if encoded, ok := s.cachedEncoding(key); ok {
			return encoded, nil
		}
		s.encodingSlots <- struct{}{}
		defer func() { <-s.encodingSlots }()
		encoded, err := delta.Encode(base, bytes)
		if err != nil {
			return nil, err
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.cache.AddEncoded(key, encoded)
		s.encodeCount++
		return encoded, nil
	})
	if err != nil {
		return nil, err
	}
	return encoded.([]byte), nil
}

// write sends a response. A large one waits for a write slot; a deadline frees the slot if the reader is too slow.
func (s *contentServer) write(w http.ResponseWriter, req *http.Request, coding string, body []byte) {
	if coding != "" {
		w.Header().Set("Content-Encoding", coding)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if len(body) <= smallResponseBytes {
		_, _ = w.Write(body) // a gateway that misses it asks again
		return
	}
	select {
	case s.writeSlots <- struct{}{}:
	case <-req.Context().Done():
		return
	case <-s.replica.stopped:
		return
	}
	defer func() { <-s.writeSlots }()
	// Errors below are those of the connection, after which the gateway asks again.
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(requestTimeout))
	_, _ = w.Write(body)
	_ = controller.Flush()
	_ = controller.SetWriteDeadline(time.Time{})
}
