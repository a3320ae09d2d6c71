// Package scale runs a whole fleet on one machine: hollow gateways, many in this process, before three keepers that are processes of their
// own. A hollow gateway is the following, the list, the cold budgets, the loop and the decision module of a real one; it has no clients,
// and its storage nodes are not there: what the module would send to them is answered here. Between two regions there are links with
// latency, which can be cut. It is used by tests and by `irispost fleet scale`.
package scale

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Size is how large a fleet is, and what happens to it.
type Size struct {
	Gateways          int           `json:"gateways"`
	Nodes             int           `json:"nodes"` // each has a shard
	Zones             int           `json:"zones"` // gateways and nodes are dealt out to them in turn
	FirstRegionZones  int           `json:"home"`  // so many zones are the first region, the others the second
	ReplicaRegions    []int         `json:"keepers"`
	Latency           time.Duration `json:"latency_ns"` // one way, between regions
	Lease             time.Duration `json:"lease_ns"`
	RenewInterval     time.Duration `json:"pause_ns"` // between a gateway's asks
	FallbackDuration  time.Duration `json:"floor_ns"` // for how long a gateway that is cut off serves on
	SlowStart         bool          `json:"cold"`     // gateways reach each other, and deal out what cold nodes bear
	Changes           int           `json:"changes"`
	Restarts          int           `json:"restarts"`
	Kills             int           `json:"kills"` // one of them a keeper's
	Replacements      int           `json:"replacements"`
	ChangesPerFault   int           `json:"rounds"`           // changes under each fault
	Faults            []string      `json:"faults,omitempty"` // of the case "in-force"; none named: all
	RestartBatch      int           `json:"wave"`             // gateways that a rolling restart has away at once
	Phases            int           `json:"parts"`            // of the ordinary day, after each of which is weighed what is held
	IdleTime          time.Duration `json:"rest_ns"`          // for which the fleet is watched at rest
	Timeout           time.Duration `json:"patience_ns"`
	EnforceTimeBounds bool          `json:"timed"` // the letter's times are held against what is measured, and not the end state alone
}

// Bounds that a Timed run is held against.
const (
	inForceBound  = 12 * time.Second // a change, from its proposal to the last gateway that is there
	replacedBound = 6 * time.Second  // a shard's node, from its loss to the last gateway that sends to its successor
)

// Full is the size in two years.
func Full() Size {
	return Size{Gateways: 780, Nodes: 1800, Zones: 7, FirstRegionZones: 4, ReplicaRegions: []int{0, 0, 1}, Latency: 30 * time.Millisecond, Lease: 2 * time.Second,
		RenewInterval: 400 * time.Millisecond, FallbackDuration: 4 * time.Second, SlowStart: true, Changes: 950, Restarts: 150, Kills: 5, Replacements: 40, ChangesPerFault: 3, RestartBatch: 26,
		Phases: 8, IdleTime: 20 * time.Second, Timeout: 2 * time.Minute, EnforceTimeBounds: true}
}

// Short is a size for tests: verdicts by the end state alone.
func Short() Size {
	s := Full()
	s.Gateways, s.Nodes, s.Changes, s.Restarts, s.Kills, s.Replacements, s.ChangesPerFault, s.RestartBatch = 60, 140, 16, 4, 2, 4, 1, 20
	s.Phases, s.IdleTime, s.EnforceTimeBounds = 4, 200*time.Millisecond, false
	return s
}

// Check refuses sizes that no fleet can have.
func (s *Size) Check() error {
	switch {
	case s.Gateways < 2 || s.Nodes < 1 || s.Gateways > 5000 || s.Nodes > 1<<16:
		return fmt.Errorf("%d gateways and %d nodes: 2 to 5,000 and 1 to 65,536", s.Gateways, s.Nodes)
	case s.FirstRegionZones < 1 || s.FirstRegionZones >= s.Zones || s.Gateways < s.Zones:
		return fmt.Errorf("%d zones, %d of them in the first region, %d gateways: two regions, and a gateway in each zone", s.Zones, s.FirstRegionZones, s.Gateways)
	case len(s.ReplicaRegions)%2 == 0:
		return fmt.Errorf("%d keepers: one, three or five", len(s.ReplicaRegions))
	case s.Phases < 3 || s.Changes < s.Phases || s.ChangesPerFault < 1 || s.RestartBatch < 1 || s.Replacements < 1 || s.Replacements > s.Nodes:
		return fmt.Errorf("%d changes in %d parts (3 at least), %d rounds, waves of %d, %d replacements of %d nodes", s.Changes, s.Phases, s.ChangesPerFault, s.RestartBatch,
			s.Replacements, s.Nodes)
	case s.Restarts < 0 || s.Kills < 0 || s.Restarts > s.Changes || s.Kills > s.Changes:
		return errors.New("at most one restart and one kill come with a change")
	case s.Lease < 100*time.Millisecond || s.RenewInterval <= 0 || s.RenewInterval > s.Lease/2 || s.FallbackDuration < 0 || s.Latency < 0 || s.IdleTime <= 0 || s.Timeout <= 0:
		return fmt.Errorf("lease %v, pause %v, floor %v, latency %v, rest %v, patience %v", s.Lease, s.RenewInterval, s.FallbackDuration, s.Latency, s.IdleTime, s.Timeout)
	}
	for _, name := range s.Faults {
		if !slices.ContainsFunc(troubles, func(t trouble) bool { return t.name == name }) {
			return fmt.Errorf("there is no fault %q: %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	for _, region := range s.ReplicaRegions {
		if region != 0 && region != 1 {
			return fmt.Errorf("a keeper in region %d: there are 0 and 1", region)
		}
	}
	return nil
}

// zone is a gateway's or a node's, and region a zone's.
func (s *Size) zone(number int) int { return number % s.Zones }

func (s *Size) region(zone int) int {
	if zone < s.FirstRegionZones {
		return 0
	}
	return 1
}
