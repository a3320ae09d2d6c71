package client

import (
	"context"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/lease"
)

// fetcher fetches the contents of the versions that a renewal response names. The renewal goroutine owns it.
type fetcher struct {
	client         *Client
	cache          *content.Cache
	file           *cacheFile // nil: none
	rejectedDigest string     // digest of the content whose response was rejected last, to log it only once
}

// addContents fills in the contents of the versions that a response names, if they can be fetched within a renewal
// interval. Missing contents are requested again after the next renewal. The lease runs from the time at which it was
// requested, so a slow fetch does not extend it.
func (f *fetcher) addContents(ctx context.Context, response *lease.RenewResponse) {
	if response.LeaseDuration == 0 {
		return
	}
	versions := f.versionsOf(response)
	f.retain(versions)
	fetchCtx, cancel := context.WithTimeout(ctx, f.client.opt.RenewInterval)
	defer cancel()
	for _, version := range versions {
		switch {
		case len(version.Content) == 0:
			version.Content = f.fetch(fetchCtx, version.Digest)
		case f.cache.Content(version.Digest) == nil: // the response carried the full content
			if f.cache.Add(version.Digest, version.Content) {
				f.file.write(version.Content)
			}
		}
	}
}

// versionsOf returns the versions that a response names, the one in force first.
func (f *fetcher) versionsOf(response *lease.RenewResponse) []*configversion.Version {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	return f.client.stateMachine.VersionsOf(response)
}

// retain makes the cache keep the contents of these versions and drop what is no longer needed.
func (f *fetcher) retain(versions []*configversion.Version) {
	digests := make([]string, len(versions))
	for i, version := range versions {
		digests[i] = version.Digest
	}
	f.cache.Retain(digests...)
}

// fetch returns the content with a digest, from the cache or a replica, or nil if no replica returns it in time.
func (f *fetcher) fetch(ctx context.Context, digest string) []byte {
	fetch := f.cache.Fetch(digest, len(f.client.opt.Replicas))
	for fetch.State() == content.StateInProgress && ctx.Err() == nil {
		f.tryOnce(ctx, fetch)
	}
	return f.cache.Content(digest)
}

// tryOnce sends the next request of a fetch and passes the outcome to it.
func (f *fetcher) tryOnce(ctx context.Context, fetch *content.Fetch) {
	request := fetch.NextRequest()
	addr := f.client.replicaAddrAfter(request.Replica)
	logger := f.client.opt.Logger.With("gateway", f.client.opt.Gateway, "replica", addr, "digest", request.Digest)
	encoding, encoded, err := f.client.replicas.FetchContent(ctx, addr, request)
	if err != nil {
		logger.Debug("content request failed", "err", err)
		fetch.HandleFailure()
		return
	}
	if err := fetch.HandleResponse(request, encoding, encoded); err != nil {
		if f.rejectedDigest != request.Digest {
			logger.Warn("content response rejected", "err", err)
		}
		f.rejectedDigest = request.Digest
		return
	}
	if request.Base != "" && encoding == content.EncodingZstd {
		logger.Info("received full content in place of a delta: the replica does not have the base",
			"base", request.Base, "bytes", len(encoded))
	}
	f.file.write(f.cache.Content(request.Digest))
}
