package follow

import (
	"context"
	"net/http"

	"irispost/internal/fleet/accord"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/keep"
)

// fetcher gets the contents that a grant names. It belongs to the goroutine that asks.
type fetcher struct {
	following *Following
	client    *keep.Client
	hold      *content.Holding
	spool     *spool // nil: none
	said      string // what was wrong with a content last, so that it is said once
}

// complete has a grant hold the contents that can be had within a pause; the others are asked for again with the next one. The lease
// counts from when it was asked for, whatever this takes.
func (t *fetcher) complete(ctx context.Context, g *accord.Grant) {
	f := t.following
	if g.Lease == 0 {
		return
	}
	f.lock.Lock()
	named := f.f.Named(g)
	f.lock.Unlock()
	digests := make([]string, len(named))
	for i, v := range named {
		digests[i] = v.Digest
	}
	t.hold.Named(digests...)
	each, end := context.WithTimeout(ctx, f.opt.Pause)
	defer end()
	for _, v := range named {
		switch {
		case len(v.Rules) == 0:
			v.Rules = t.fetch(each, v.Digest)
		case t.hold.Content(v.Digest) == nil: // from a keeper of the form before
			if t.hold.Take(v.Digest, v.Rules) {
				t.spool.put(v.Rules)
			}
		}
	}
}

// fetch gets one content; nil: it cannot be had now.
func (t *fetcher) fetch(ctx context.Context, digest string) []byte {
	f := t.following
	fetch := t.hold.Fetch(digest, len(f.opt.Keepers))
	for fetch.State() == content.Asking && ctx.Err() == nil {
		r := fetch.Next()
		keeper := f.opt.Keepers[(f.which.Load()+int64(r.Keeper))%int64(len(f.opt.Keepers))]
		coding, coded, err := t.client.Content(ctx, keeper, r)
		if err != nil {
			f.opt.Log.Debug("a keeper gives no content", "gateway", f.opt.Gateway, "keeper", keeper, "digest", digest, "why", err)
			fetch.Failed()
			continue
		}
		if err = fetch.Answered(r, coding, coded); err != nil {
			if t.said != digest {
				f.opt.Log.Warn("an answer of a keeper is not taken: "+err.Error(), "gateway", f.opt.Gateway, "keeper", keeper, "digest", digest)
			}
			t.said = digest
			continue
		}
		if r.Base != "" && coding == content.Whole {
			f.opt.Log.Info("a content came whole: the keeper does not have the base", "gateway", f.opt.Gateway, "keeper", keeper, "digest", digest, "base", r.Base, "bytes", len(coded))
		}
		t.spool.put(t.hold.Content(digest))
	}
	return t.hold.Content(digest)
}

// caller is how a gateway calls keepers, over one connection to each.
func (f *Following) caller() *keep.Client {
	return &keep.Client{HTTP: &http.Client{Transport: &http.Transport{DialContext: f.opt.Dial, MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}
