package replica

import (
	"net/http"
	"slices"
	"strconv"

	"go.etcd.io/bbolt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
)

// Limits of a response to GET /versions. The first version is included whatever its size.
const (
	maxListedVersions = 64
	maxListedBytes    = 4 << 20
)

// forgottenVersions returns the versions that the state machine has forgotten, from one number to another, both
// included.
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

// versionsFrom returns versions from a number on, sorted by number, as many as fit into a response. The list is empty
// if there are none.
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
	// After a restart a version may be in both, until the log is replayed to the command that forgets it.
	list = slices.CompactFunc(list, func(a, b *configversion.Version) bool { return a.Number == b.Number })
	return limitContentBytes(list), nil
}

// limitContentBytes truncates a list whose contents exceed maxListedBytes; it keeps at least the first version.
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

// handleVersions handles GET /versions: it responds with the versions from the number in the query parameter "from"
// on.
func (r *Replica) handleVersions(w http.ResponseWriter, req *http.Request) {
	from := queryNumber(req, "from")
	r.respondAsLeader(w, req, func(*lease.Manager) any {
		list, err := r.versionsFrom(from)
		if err != nil {
			r.logger.Error("reading the version history failed", "err", err)
		}
		return slices.Concat([]*configversion.Version{}, list)
	})
}

// queryNumber returns a number from a request's query; 0 if it is missing or malformed.
func queryNumber(req *http.Request, name string) uint64 {
	number, _ := strconv.ParseUint(req.URL.Query().Get(name), 10, 64)
	return number
}
