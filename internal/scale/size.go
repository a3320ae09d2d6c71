package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Size is how large a fleet is, and what happens to it.
type Size struct {
	Gateways          int           `json:"gateways"`
	Nodes             int           `json:"nodes"`      // one for each shard
	Zones             int           `json:"zones"`      // gateways and nodes are assigned to zones round-robin
	FirstRegionZones  int           `json:"home"`       // as many zones are the first region, the others the second
	ReplicaRegions    []int         `json:"keepers"`    // the region, 0 or 1, of each replica
	Latency           time.Duration `json:"latency_ns"` // one way, between regions
	Lease             time.Duration `json:"lease_ns"`
	RenewInterval     time.Duration `json:"pause_ns"`
	FallbackDuration  time.Duration `json:"floor_ns"` // for which a gateway without a lease serves on
	SlowStart         bool          `json:"cold"`     // gateways reach each other and allocate the budgets of warming nodes
	Changes           int           `json:"changes"`
	Restarts          int           `json:"restarts"`
	Kills             int           `json:"kills"` // the first is a replica's, the others gateways'
	Replacements      int           `json:"replacements"`
	ChangesPerFault   int           `json:"rounds"`
	Faults            []string      `json:"faults,omitempty"` // names of faults for the case "in-force"; none: all
	RestartBatch      int           `json:"wave"`             // gateways that a rolling restart restarts at once
	Phases            int           `json:"parts"`            // of the ordinary day; memory is measured after each
	IdleTime          time.Duration `json:"rest_ns"`          // for which the fleet is measured at rest
	Timeout           time.Duration `json:"patience_ns"`      // of each state that is awaited
	EnforceTimeBounds bool          `json:"timed"`            // measured times are checked too, not only the end state
}

// Bounds that are checked with EnforceTimeBounds.
const (
	inForceBound  = 12 * time.Second // a change, from its proposal to the last gateway that runs
	replacedBound = 6 * time.Second  // a shard's node, from its loss to the last gateway that sends to its successor
)

// Limits of sizes.
const (
	minimumGateways = 2
	maximumGateways = 5000
	maximumNodes    = 1 << 16
	minimumLease    = 100 * time.Millisecond
)

// FullSize returns the size that the operators expect in two years.
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

// ShortSize returns a size for tests, which checks end states alone.
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

// SizeError is returned by Check for a size that no fleet can have.
type SizeError struct {
	Problem string // with the values at fault
}

// Error returns the problem.
func (e *SizeError) Error() string { return e.Problem }

func sizeErrorf(format string, args ...any) error {
	return &SizeError{fmt.Sprintf(format, args...)}
}

// Check returns a SizeError for a size that no fleet can have.
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
		return sizeErrorf("%d gateways and %d nodes: 2 to 5,000 and 1 to 65,536", s.Gateways, s.Nodes)
	case s.FirstRegionZones < 1 || s.FirstRegionZones >= s.Zones || s.Gateways < s.Zones:
		return sizeErrorf("%d zones, %d of them in the first region, %d gateways: two regions, and a gateway in each zone",
			s.Zones, s.FirstRegionZones, s.Gateways)
	case len(s.ReplicaRegions)%2 == 0:
		return sizeErrorf("%d keepers: one, three or five", len(s.ReplicaRegions))
	}
	return nil
}

// checkEvents checks the numbers of changes, phases, replacements, restarts and kills.
func (s *Size) checkEvents() error {
	switch {
	case s.Phases < minimumPhases || s.Changes < s.Phases || s.ChangesPerFault < 1 || s.RestartBatch < 1 ||
		s.Replacements < 1 || s.Replacements > s.Nodes:
		return sizeErrorf("%d changes in %d parts (3 at least), %d rounds, waves of %d, %d replacements of %d nodes",
			s.Changes, s.Phases, s.ChangesPerFault, s.RestartBatch, s.Replacements, s.Nodes)
	case s.Restarts < 0 || s.Kills < 0 || s.Restarts > s.Changes || s.Kills > s.Changes:
		return sizeErrorf("at most one restart and one kill come with a change")
	}
	return nil
}

// checkTimes checks the durations.
func (s *Size) checkTimes() error {
	if s.Lease < minimumLease || s.RenewInterval <= 0 || s.RenewInterval > s.Lease/2 || s.FallbackDuration < 0 ||
		s.Latency < 0 || s.IdleTime <= 0 || s.Timeout <= 0 {
		return sizeErrorf("lease %v, pause %v, floor %v, latency %v, rest %v, patience %v",
			s.Lease, s.RenewInterval, s.FallbackDuration, s.Latency, s.IdleTime, s.Timeout)
	}
	return nil
}

func (s *Size) checkFaults() error {
	for _, name := range s.Faults {
		if !slices.ContainsFunc(faults, func(f fault) bool { return f.name == name }) {
			return sizeErrorf("there is no fault %q: %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	return nil
}

func (s *Size) checkReplicaRegions() error {
	for _, region := range s.ReplicaRegions {
		if region != 0 && region != 1 {
			return sizeErrorf("a keeper in region %d: there are 0 and 1", region)
		}
	}
	return nil
}

// zone returns the zone of a gateway or node by its index.
func (s *Size) zone(index int) int { return index % s.Zones }

// region returns the region of a zone.
func (s *Size) region(zone int) int {
	if zone < s.FirstRegionZones {
		return 0
	}
	return 1
}
