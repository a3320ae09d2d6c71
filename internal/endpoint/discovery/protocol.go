package discovery

import (
	"fmt"
	"strconv"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/http1"
)

// listPath is where the service has the list.
const listPath = "/v1/servers"

// responseLimits are the limits of a response: lists of many thousands of nodes.
var responseLimits = http1.Limits{MaxHeadBytes: 8 << 10, MaxFields: 64, MaxBodyBytes: 4 << 20, MaxInformational: 8}

// Response is the service's JSON form of a list, or of its changes since a revision.
type Response struct {
	Revision int64    `json:"rev"`
	Full     bool     `json:"all"` // it is the complete list
	Targets  []Target `json:"targets"`
}

// Target is an entry of a Response: a storage node.
type Target struct {
	UID           string  `json:"uid"`      // the node's identity; its endpoint may change
	Endpoint      string  `json:"endpoint"` // host:port
	Zone          string  `json:"az"`
	Model         string  `json:"model"`
	Shard         int     `json:"pod_group"`
	State         string  `json:"state"` // ready, draining or, among changes, gone
	Weight        float64 `json:"capacity_hint"`
	StartedMillis int64   `json:"boot_ms"` // when it started, in milliseconds since 1970; 0: long ago
}

// healthByState are the states of a Target.
var healthByState = map[string]endpoint.Health{
	"ready":    endpoint.Ready,
	"draining": endpoint.Draining,
	"gone":     endpoint.Removed,
}

// TargetError tells that a Target is not valid.
type TargetError struct{ Target Target }

// Error implements error.
func (e *TargetError) Error() string {
	t := &e.Target
	return fmt.Sprintf("invalid target: uid %q, endpoint %q, state %q", t.UID, t.Endpoint, t.State)
}

// StatusError tells that the service answered with another status than 200.
type StatusError int

// Error implements error.
func (e StatusError) Error() string { return "status " + strconv.Itoa(int(e)) }

// node checks and converts a Target. Its UID becomes the node's name.
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

// nodes converts all targets.
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

// requestPath returns the path of a request: for the complete list, or for its changes since a revision, for which the
// service may wait that long.
func requestPath(haveList bool, revision int64, longPoll time.Duration) string {
	if !haveList {
		return listPath
	}
	return listPath + "?from=" + strconv.FormatInt(revision, 10) +
		"&hold_ms=" + strconv.FormatInt(longPoll.Milliseconds(), 10)
}
