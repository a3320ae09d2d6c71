package discovery

import (
	"fmt"
	"strconv"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/http1"
)

// listPath is the path of the list at the service.
const listPath = "/v1/servers"

// responseLimits limit a response. They admit lists of many thousands of nodes.
var responseLimits = http1.Limits{MaxHeadBytes: 8 << 10, MaxFields: 64, MaxBodyBytes: 4 << 20, MaxInformational: 8}

// Response is a JSON response of the service: a complete list, or its changes since a revision.
type Response struct {
	Revision int64    `json:"rev"`
	Full     bool     `json:"all"` // the list is complete
	Targets  []Target `json:"targets"`
}

// Target is an entry of a Response: a storage node.
type Target struct {
	UID           string  `json:"uid"`      // identifies the node, whose endpoint may change
	Endpoint      string  `json:"endpoint"` // host:port
	Zone          string  `json:"az"`
	Model         string  `json:"model"`
	Shard         int     `json:"pod_group"`
	State         string  `json:"state"` // "ready", "draining" or, in a list of changes, "gone"
	Weight        float64 `json:"capacity_hint"`
	StartedMillis int64   `json:"boot_ms"` // start time in milliseconds since 1970; 0: long ago
}

// healthByState maps the states of a Target.
var healthByState = map[string]endpoint.Health{
	"ready":    endpoint.Ready,
	"draining": endpoint.Draining,
	"gone":     endpoint.Removed,
}

// TargetError is returned for an invalid Target.
type TargetError struct{ Target Target }

// Error implements error.
func (e *TargetError) Error() string {
	t := &e.Target
	return fmt.Sprintf("invalid target: uid %q, endpoint %q, state %q", t.UID, t.Endpoint, t.State)
}

// StatusError is an HTTP status other than 200.
type StatusError int

// Error implements error.
func (e StatusError) Error() string {
	return "discovery service responded with status " + strconv.Itoa(int(e))
}

// node validates a Target and converts it to a node, with its UID as the name.
func (t *Target) node() (endpoint.Node, error) {
	health, known := healthByState[t.State]
	if !known || t.UID == "" || health != endpoint.Removed && t.Endpoint == "" {
		return endpoint.Node{}, &TargetError{*t}
	}
	return endpoint.Node{
		Addr:      t.Endpoint,
		Name:      t.UID,
		Zone:      t.Zone,
		Shard:     t.Shard,
		Weight:    t.Weight,
		StartedAt: t.StartedMillis * int64(time.Millisecond),
		Health:    health,
	}, nil
}

// nodes converts all targets. It fails if one of them is invalid.
func (r *Response) nodes() ([]endpoint.Node, error) {
	nodes := make([]endpoint.Node, 0, len(r.Targets))
	for i := range r.Targets {
		n, err := r.Targets[i].node()
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// requestPath returns the path and query of a request for the complete list or, if haveList is true, for its changes
// since a revision. longPoll is how long the service may wait for a change.
func requestPath(haveList bool, revision int64, longPoll time.Duration) string {
	if !haveList {
		return listPath
	}
	return listPath + "?from=" + strconv.FormatInt(revision, 10) +
		"&hold_ms=" + strconv.FormatInt(longPoll.Milliseconds(), 10)
}
