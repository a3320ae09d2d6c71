package replica

import (
	"net/http"
	"slices"
	"strconv"

	"go.etcd.io/bbolt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
)

// An answer to GET /versions has so many versions at most, and no further one once their contents have so many bytes.
const (
	maxListedVersions = 64
	maxListedBytes    = 4 << 20
)

// forgottenVersions lists versions that the state machine has forgotten, from one number to another.
func (r *Replica) forgottenVersions(from, to uint64) ([]*configversion.Version, error) {
	if len(r.store.history.pending) > 0 {
		if err := r.store.update(func(*bbolt.Tx) error { return nil }); err != nil {
			return nil, err
		}
	}
	var list []*configversion.Version
	err := r.store.db.View(func(tx *bbolt.Tx) error {
		list = r.store.history.versions(tx, from, to)
		return nil
	})
	return list, err
}

// versionsFrom lists versions by number, up to what an answer holds; empty once there are none.
func (r *Replica) versionsFrom(from uint64) ([]*configversion.Version, error) {
	var list []*configversion.Version
	for first := max(from, 1); len(list) == 0 && first < r.machine.Announced; first += maxListedVersions {
		last := first + maxListedVersions - 1
		forgotten, err := r.forgottenVersions(first, last)
		if err != nil {
			return nil, err
		}
		for _, version := range r.machine.Versions {
			if version.Number >= first && version.Number <= last {
				list = append(list, version)
			}
		}
		list = append(list, forgotten...)
	}
	if len(list) == 0 {
		if version := r.machine.Version(r.machine.Announced); version != nil && from <= version.Number {
			list = append(list, version)
		}
	}
	slices.SortStableFunc(list, func(a, b *configversion.Version) int { return compareNumber(a, b.Number) })
	// After a start a version may be in both, until the log has it forgotten again.
	list = slices.CompactFunc(list, func(a, b *configversion.Version) bool { return a.Number == b.Number })
	return limitContentBytes(list), nil
}

// limitContentBytes cuts a list where its contents get larger than an answer; the first version stays.
func limitContentBytes(list []*configversion.Version) []*configversion.Version {
	bytes := 0
	for i, version := range list {
		bytes += len(version.Content)
		if bytes > maxListedBytes && i > 0 {
			return list[:i]
		}
	}
	return list
}

// handleVersions answers GET /versions with versions from the number "from" on.
func (r *Replica) handleVersions(w http.ResponseWriter, req *http.Request) {
	from := queryNumber(req, "from")
	r.answerAsLeader(w, req, func(*lease.Manager) any {
		list, err := r.versionsFrom(from)
		if err != nil {
			r.logger.Error("reading the version history failed", "err", err)
		}
		return slices.Concat([]*configversion.Version{}, list)
	})
}

// queryNumber reads a number of a request's query; 0 where it is missing or malformed.
func queryNumber(req *http.Request, name string) uint64 {
	number, _ := strconv.ParseUint(req.URL.Query().Get(name), 10, 64)
	return number
}
