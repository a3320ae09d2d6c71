package client

import (
	"context"
	"net/http"

	"irispost/internal/fleet/content"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// fetcher gets the contents that a grant names. It belongs to the goroutine that asks.
type fetcher struct {
	following *Client
	client    *replica.Client
	hold      *content.Cache
	spool     *spool // nil: none
	said      string // what was wrong with a content last, so that it is said once
}

// complete has a grant hold the contents that can be had within a pause; the others are asked for again with the next one. The lease
// counts from when it was asked for, whatever this takes.
func (t *fetcher) complete(ctx context.Context, g *lease.RenewResponse) {
	f := t.following
	if g.LeaseDuration == 0 {
		return
	}
	f.lock.Lock()
	named := f.f.VersionsOf(g)
	f.lock.Unlock()
	digests := make([]string, len(named))
	for i, v := range named {
		digests[i] = v.Digest
	}
	t.hold.Retain(digests...)
	each, end := context.WithTimeout(ctx, f.opt.RenewInterval)
	defer end()
	for _, v := range named {
		switch {
		case len(v.Content) == 0:
			v.Content = t.fetch(each, v.Digest)
		case t.hold.Content(v.Digest) == nil: // from a keeper of the form before
			if t.hold.Add(v.Digest, v.Content) {
				t.spool.put(v.Content)
			}
		}
	}
}

// fetch gets one content; nil: it cannot be had now.
func (t *fetcher) fetch(ctx context.Context, digest string) []byte {
	f := t.following
	fetch := t.hold.Fetch(digest, len(f.opt.Replicas))
	for fetch.State() == content.StateInProgress && ctx.Err() == nil {
		r := fetch.NextRequest()
		keeper := f.opt.Replicas[(f.which.Load()+int64(r.Replica))%int64(len(f.opt.Replicas))]
		coding, coded, err := t.client.FetchContent(ctx, keeper, r)
		if err != nil {
			f.opt.Logger.Debug("a keeper gives no content", "gateway", f.opt.Gateway, "keeper", keeper, "digest", digest, "why", err)
			fetch.HandleFailure()
			continue
		}
		if err = fetch.HandleResponse(r, coding, coded); err != nil {
			if t.said != digest {
				f.opt.Logger.Warn("an answer of a keeper is not taken: "+err.Error(), "gateway", f.opt.Gateway, "keeper", keeper, "digest", digest)
			}
			t.said = digest
			continue
		}
		if r.Base != "" && coding == content.EncodingZstd {
			f.opt.Logger.Info("a content came whole: the keeper does not have the base", "gateway", f.opt.Gateway, "keeper", keeper, "digest", digest, "base", r.Base, "bytes", len(coded))
		}
		t.spool.put(t.hold.Content(digest))
	}
	return t.hold.Content(digest)
}

// caller is how a gateway calls keepers, over one connection to each.
func (f *Client) caller() *replica.Client {
	return &replica.Client{HTTPClient: &http.Client{Transport: &http.Transport{DialContext: f.opt.Dial, MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}
