package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Size is the size of a fleet and of the cases that run on it.
type Size struct {
	Gateways          int           `json:"gateways"`
	Nodes             int           `json:"nodes"`      // one for each shard
	Zones             int           `json:"zones"`      // gateways and nodes are assigned to zones round-robin
	FirstRegionZones  int           `json:"home"`       // zones in the first region; the others are in the second
	ReplicaRegions    []int         `json:"keepers"`    // the region, 0 or 1, of each replica
	Latency           time.Duration `json:"latency_ns"` // one way, between regions
	Lease             time.Duration `json:"lease_ns"`
	RenewInterval     time.Duration `json:"pause_ns"`
	FallbackDuration  time.Duration `json:"floor_ns"` // for which a gateway serves after the end of its lease
	SlowStart         bool          `json:"cold"`     // gateways connect to each other and allocate slow-start budgets
	Changes           int           `json:"changes"`
	Restarts          int           `json:"restarts"`
	Kills             int           `json:"kills"` // the first kills a replica, the others gateways
	Replacements      int           `json:"replacements"`
	ChangesPerFault   int           `json:"rounds"`
	Faults            []string      `json:"faults,omitempty"` // for the case "in-force"; none: all
	RestartBatch      int           `json:"wave"`             // gateways that a rolling restart restarts at once
	Phases            int           `json:"parts"`            // of the case "ordinary"; memory is measured after each
	IdleTime          time.Duration `json:"rest_ns"`          // for which the idle fleet is measured
	Timeout           time.Duration `json:"patience_ns"`      // for each state that a case waits for
	EnforceTimeBounds bool          `json:"timed"`            // measured times are checked too, not only end states
}

// Time bounds, which are checked with EnforceTimeBounds.
const (
	inForceBound  = 12 * time.Second // from a change's proposal to the last running gateway
	replacedBound = 6 * time.Second  // from a node's loss to the last gateway that sends to its successor
)

// Limits of sizes.
const (
	minimumGateways = 2
	maximumGateways = 5000
	maximumNodes    = 1 << 16
	minimumLease    = 100 * time.Millisecond
)

// FullSize returns the size of the fleet that the operators expect in two years, and enforces time bounds.
func FullSize() Size {
	return Size{
		Gateways:          780,
		Nodes:             1800,
		Zones:             7,
		FirstRegionZones:  4,
		ReplicaRegions:    []int{0, 0, 1},
		Latency:           30 * time.Millisecond,
		Lease:             2 * time.Second,
		RenewInterval:     400 * time.Millisecond,
		FallbackDuration:  4 * time.Second,
		SlowStart:         true,
		Changes:           950,
		Restarts:          150,
		Kills:             5,
		Replacements:      40,
		ChangesPerFault:   3,
		RestartBatch:      26,
		Phases:            8,
		IdleTime:          20 * time.Second,
		Timeout:           2 * time.Minute,
		EnforceTimeBounds: true,
	}
}

// ShortSize returns a smaller size for tests, which does not enforce time bounds.
func ShortSize() Size {
	size := FullSize()
	size.Gateways = 60
	size.Nodes = 140
	size.Changes = 16
	size.Restarts = 4
	size.Kills = 2
	size.Replacements = 4
	size.ChangesPerFault = 1
	size.RestartBatch = 20
	size.Phases = 4
	size.IdleTime = 200 * time.Millisecond
	size.EnforceTimeBounds = false
	return size
}

// SizeError is the error of an invalid Size.
type SizeError struct {
	Problem string // includes the invalid values
}

// Error returns the problem.
func (e *SizeError) Error() string { return e.Problem }

func sizeErrorf(format string, args ...any) error {
	return &SizeError{fmt.Sprintf(format, args...)}
}

// Check returns a SizeError if the size is invalid.
func (s *Size) Check() error {
	checks := []func() error{s.checkShape, s.checkEvents, s.checkTimes, s.checkFaults, s.checkReplicaRegions}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkShape checks the numbers of gateways, nodes, zones and replicas.
func (s *Size) checkShape() error {
	switch {
	case s.Gateways < minimumGateways || s.Nodes < 1 || s.Gateways > maximumGateways || s.Nodes > maximumNodes:
		return sizeErrorf("%d gateways and %d nodes: want 2 to 5,000 gateways and 1 to 65,536 nodes", s.Gateways, s.Nodes)
	case s.FirstRegionZones < 1 || s.FirstRegionZones >= s.Zones || s.Gateways < s.Zones:
		return sizeErrorf("%d zones, %d of them in the first region, %d gateways: want two regions, a gateway in each zone",
			s.Zones, s.FirstRegionZones, s.Gateways)
	case len(s.ReplicaRegions)%2 == 0:
		return sizeErrorf("%d replicas: want an odd number", len(s.ReplicaRegions))
	}
	return nil
}

// checkEvents checks the numbers of changes, phases, replacements, restarts and kills.
func (s *Size) checkEvents() error {
	switch {
	case s.Phases < minimumPhases || s.Changes < s.Phases || s.ChangesPerFault < 1 || s.RestartBatch < 1 ||
		s.Replacements < 1 || s.Replacements > s.Nodes:
		return sizeErrorf("%d changes in %d parts (3 or more), %d rounds, waves of %d, %d replacements of %d nodes",
			s.Changes, s.Phases, s.ChangesPerFault, s.RestartBatch, s.Replacements, s.Nodes)
	case s.Restarts < 0 || s.Kills < 0 || s.Restarts > s.Changes || s.Kills > s.Changes:
		return sizeErrorf("want at most one restart and one kill per change, and neither number negative")
	}
	return nil
}

// checkTimes checks the durations.
func (s *Size) checkTimes() error {
	if s.Lease < minimumLease || s.RenewInterval <= 0 || s.RenewInterval > s.Lease/2 || s.FallbackDuration < 0 ||
		s.Latency < 0 || s.IdleTime <= 0 || s.Timeout <= 0 {
		return sizeErrorf("invalid durations: lease %v, renewal interval %v, floor %v, latency %v, rest %v, patience %v",
			s.Lease, s.RenewInterval, s.FallbackDuration, s.Latency, s.IdleTime, s.Timeout)
	}
	return nil
}

func (s *Size) checkFaults() error {
	for _, name := range s.Faults {
		if !slices.ContainsFunc(faults, func(f fault) bool { return f.name == name }) {
			return sizeErrorf("unknown fault %q, want one of %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	return nil
}

func (s *Size) checkReplicaRegions() error {
	for _, region := range s.ReplicaRegions {
		if region != 0 && region != 1 {
			return sizeErrorf("a replica in region %d: want 0 or 1", region)
		}
	}
	return nil
}

// zone returns the zone of the gateway or node with an index.
func (s *Size) zone(index int) int { return index % s.Zones }

// region returns the region of a zone.
func (s *Size) region(zone int) int {
	if zone < s.FirstRegionZones {
		return 0
	}
	return 1
}
