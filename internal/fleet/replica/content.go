package replica

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/delta"
)

// Headers of RFC 9842. Who offers a base names it by its SHA-256, and by its BLAKE3 digest, under which keepers have it.
const (
	headBase = "Available-Dictionary"
	headID   = "Dictionary-ID"
)

const (
	madeAtOnce    = 2       // contents are coded by so many at a time: leases go first
	writtenAtOnce = 32      // and large answers written
	small         = 8 << 10 // bytes: what is smaller waits for nobody, as a socket takes it at once
)

// contents hands out versions' contents by digest. Any keeper does, whether it leads or not: what has a digest is never another. None of it
// is the keeper's goroutine's, but for the first look at a digest.
type contents struct {
	keeper *Replica
	lock   sync.Mutex
	shelf  *content.DeltaCache
	flight singleflight.Group
	making chan struct{}
	places chan struct{}
	made   int // codings, so far
}

func newContents(k *Replica) *contents {
	return &contents{keeper: k, shelf: content.NewDeltaCache(), making: make(chan struct{}, madeAtOnce), places: make(chan struct{}, writtenAtOnce)}
}

// find is a content by its digest; false: this keeper does not have it, or no more, or not yet.
func (c *contents) find(digest string) (content.Content, bool) {
	look := func() (content.Content, bool) {
		c.lock.Lock()
		defer c.lock.Unlock()
		return c.shelf.Content(digest)
	}
	if found, there := look(); there || digest == "" {
		return found, there
	}
	found, err, _ := c.flight.Do("find "+digest, func() (any, error) {
		if found, there := look(); there {
			return found, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		to := make(chan *configversion.Version, 1)
		c.keeper.do(ctx, func() { to <- c.keeper.ledger.VersionByDigest(digest) })
		select {
		case v := <-to:
			if v == nil || len(v.Content) == 0 {
				return nil, ErrContentNotFound
			}
			c.lock.Lock()
			defer c.lock.Unlock()
			return c.shelf.AddContent(digest, v.Content), nil
		case <-ctx.Done():
		case <-c.keeper.ended:
		}
		return nil, ErrContentNotFound
	})
	if err != nil {
		return content.Content{}, false
	}
	return found.(content.Content), true
}

// coded is a content as a delta, or whole, made once for all who ask.
func (c *contents) coded(p content.DeltaKey, base, bytes []byte) ([]byte, error) {
	look := func() ([]byte, bool) {
		c.lock.Lock()
		defer c.lock.Unlock()
		return c.shelf.Encoded(p)
	}
	if b, there := look(); there {
		return b, nil
	}
	made, err, _ := c.flight.Do("code "+p.Base+" "+p.Digest, func() (any, error) {
		if b, there := look(); there {
			return b, nil
		}
		c.making <- struct{}{}
		defer func() { <-c.making }()
		b, err := delta.Encode(base, bytes)
		if err == nil {
			c.lock.Lock()
			defer c.lock.Unlock()
			c.shelf.AddEncoded(p, b)
			c.made++
		}
		return b, err
	})
	if err != nil {
		return nil, err
	}
	return made.([]byte), nil
}

// ServeHTTP answers GET /content/{digest}: 200 with Content-Encoding dcz, zstd or none, 404 where the content is not here.
func (c *contents) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	terse(w)
	found, there := c.find(r.PathValue("digest"))
	if !there {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	accepts := func(coding string) bool { return strings.Contains(r.Header.Get("Accept-Encoding"), coding) }
	if !accepts(content.EncodingZstd) {
		c.write(w, r, "", found.Bytes)
		return
	}
	p := content.DeltaKey{Digest: found.Digest}
	var base content.Content
	if sum, err := baseSum(r.Header.Get(headBase)); err == nil && accepts(content.EncodingDelta) {
		if base, there = c.find(strings.Trim(r.Header.Get(headID), `"`)); there {
			c.lock.Lock()
			p = c.shelf.KeyFor(found.Digest, base.Digest, sum)
			c.lock.Unlock()
		}
	}
	coding := content.EncodingDelta
	if p.Base == "" {
		coding, base.Bytes = content.EncodingZstd, nil
	}
	b, err := c.coded(p, base.Bytes, found.Bytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	c.write(w, r, coding, b)
}

// write sends an answer. Large ones wait for a place, and give it back when their reader is too slow.
func (c *contents) write(w http.ResponseWriter, r *http.Request, coding string, b []byte) {
	if coding != "" {
		w.Header().Set("Content-Encoding", coding)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if len(b) > small {
		select {
		case c.places <- struct{}{}:
		case <-r.Context().Done():
			return
		case <-c.keeper.ended:
			return
		}
		defer func() { <-c.places }()
		to := http.NewResponseController(w)
		to.SetWriteDeadline(time.Now().Add(patience))
		defer func() {
			to.Flush()
			to.SetWriteDeadline(time.Time{})
		}()
	}
	w.Write(b)
}

// baseSum reads the name of a base, a byte sequence of RFC 8941.
func baseSum(text string) (sum [sha256.Size]byte, err error) {
	inner, ok := strings.CutPrefix(text, ":")
	inner, also := strings.CutSuffix(inner, ":")
	b, err := base64.StdEncoding.DecodeString(inner)
	if !ok || !also || err != nil || len(b) != len(sum) {
		return sum, fmt.Errorf("%q names no base", text)
	}
	return [sha256.Size]byte(b), nil
}

// terse leaves out of an answer what neither side needs: there is one a second and gateway.
func terse(w http.ResponseWriter) {
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
}

// ErrContentNotFound tells that a keeper does not have a content.
var ErrContentNotFound = errors.New("this keeper does not have the content")

// FetchContent asks one keeper for a content, or a delta from the base that the request names. It is not checked.
func (c *Client) FetchContent(ctx context.Context, keeper string, r content.Request) (coding string, coded []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, (&url.URL{Scheme: "http", Host: keeper}).String()+"/content/"+r.Digest, nil)
	if err != nil {
		return "", nil, err
	}
	req.Header.Set("User-Agent", "")
	req.Header.Set("Accept-Encoding", content.EncodingZstd)
	if r.Base != "" {
		sum := r.BaseHash()
		req.Header.Set("Accept-Encoding", content.EncodingDelta+", "+content.EncodingZstd)
		req.Header.Set(headBase, ":"+base64.StdEncoding.EncodeToString(sum[:])+":")
		req.Header.Set(headID, `"`+r.Base+`"`)
	}
	a, err := c.http().Do(req)
	if err != nil {
		return "", nil, err
	}
	defer a.Body.Close()
	const most = configversion.MaxContentBytes + configversion.MaxContentBytes/64 // what cannot be made smaller grows by a little
	coded, err = io.ReadAll(io.LimitReader(a.Body, most+1))
	switch {
	case err != nil:
		return "", nil, err
	case a.StatusCode == http.StatusNotFound:
		return "", nil, ErrContentNotFound
	case a.StatusCode != http.StatusOK:
		return "", nil, fmt.Errorf("keeper %s: %s", keeper, a.Status)
	case len(coded) > most:
		return "", nil, fmt.Errorf("keeper %s: a content of more than %d bytes", keeper, most)
	}
	return a.Header.Get("Content-Encoding"), coded, nil
}
