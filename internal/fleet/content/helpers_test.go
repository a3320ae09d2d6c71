package content

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// contents holds version contents by number; each differs from the one before in one line.
var contents = func() (list [][]byte) {
	random := rand.New(rand.NewPCG(7, 3))
	lines := make([]string, 60)
	for i := range lines {
		lines[i] = fmt.Sprintf(`"10.0.0.%d:7000":{"born":%d}`, i, random.Int64())
	}
	for n := range 12 {
		lines[random.IntN(len(lines))] = fmt.Sprintf(`"10.0.1.%d:7000":{"born":%d}`, n, random.Int64())
		list = append(list, []byte(strings.Join(lines, ",")))
	}
	return list
}()

// digests holds the digests of contents.
var digests = func() (list []string) {
	for _, b := range contents {
		list = append(list, configversion.DigestOf(b))
	}
	return list
}()

// fakeReplica responds like a replica that has some of the contents.
type fakeReplica struct {
	cache *DeltaCache
	has   map[string][]byte // by digest
}

func newFakeReplica() *fakeReplica {
	return &fakeReplica{cache: NewDeltaCache(), has: map[string][]byte{}}
}

func (r *fakeReplica) content(digest string) (content Content, exists bool) {
	if content, cached := r.cache.Content(digest); cached {
		return content, true
	}
	if b := r.has[digest]; b != nil {
		return r.cache.AddContent(digest, b), true
	}
	return Content{}, false
}

func (r *fakeReplica) respond(request Request) (encoding string, encoded []byte, exists bool) {
	content, exists := r.content(request.Digest)
	if !exists {
		return "", nil, false
	}
	base, _ := r.content(request.Base)
	key := r.cache.KeyFor(request.Digest, request.Base, request.BaseHash())
	encoded, cached := r.cache.Encoded(key)
	if !cached {
		if key.Base == "" {
			base.Bytes = nil
		}
		encoded = mustEncode(base.Bytes, content.Bytes)
		r.cache.AddEncoded(key, encoded)
	}
	if key.Base == "" {
		return EncodingZstd, encoded, true
	}
	return EncodingDelta, encoded, true
}

// mustEncode calls delta.Encode and panics on an error.
func mustEncode(base, content []byte) []byte {
	encoded, err := delta.Encode(base, content)
	if err != nil {
		panic(err)
	}
	return encoded
}

// mustFetch fetches a content from a replica with one request, which must succeed, and returns that request.
func mustFetch(t *testing.T, cache *Cache, replica *fakeReplica, digest string) Request {
	t.Helper()
	fetch := cache.Fetch(digest, 1)
	request := fetch.NextRequest()
	encoding, encoded, _ := replica.respond(request)
	if err := fetch.HandleResponse(request, encoding, encoded); err != nil || fetch.State() != StateDone {
		t.Fatalf("fetch is %v with error %v, want done without one", fetch.State(), err)
	}
	return request
}
