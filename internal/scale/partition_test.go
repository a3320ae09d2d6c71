package scale

import (
	"testing"
	"time"
)

// In a partition of an hour, simulated in virtual time, the minority region serves no longer than its fallback allows,
// and a change in the majority region waits no longer than leases and fallbacks require.
func TestPartitionOfAnHour(t *testing.T) {
	const lease, hour = int64(2 * time.Second), int64(time.Hour)
	twoAndOne := []int{0, 0, 1}
	for _, c := range []struct {
		name        string
		fallback    int64
		regions     []int
		replaceNode bool
	}{
		{"a limit raised, fallback 4 s", 4e9, twoAndOne, false},
		{"a node replaced, no fallback", 0, twoAndOne, true},
		{"a node replaced, fallback 4 s", 4e9, twoAndOne, true},
		{"a node replaced, fallback 60 s", 60e9, twoAndOne, true},
		{"a node replaced, fallback 10 min", int64(10 * time.Minute), twoAndOne, true},
		{"a node replaced, fallback 2 h", 2 * hour, twoAndOne, true},
		{"a limit raised, fallback 2 h", 2 * hour, twoAndOne, false},
		{"one replica in each region and one in a third that neither reaches", 60e9, []int{0, 1, 2}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			partition := Partition{
				Lease: lease, Fallback: c.fallback, Duration: hour, ReplicaRegions: c.regions, ReplaceNode: c.replaceNode,
			}
			result, err := partition.Simulate()
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", result)
			if result.LeaseHeldFor <= 0 || result.LeaseHeldFor > lease+2*simulationStep {
				t.Errorf("lease held for %v, want up to its duration plus two steps", time.Duration(result.LeaseHeldFor))
			}
			checkFallback(t, partition, result)
			checkActivation(t, partition, result)
		})
	}
}

// checkFallback checks how long the gateway in the minority region served.
func checkFallback(t *testing.T, partition Partition, result PartitionResult) {
	t.Helper()
	if partition.Fallback > partition.Duration {
		if result.ServedFor != 0 {
			t.Errorf("fallback of %v ended after %v, want no end",
				time.Duration(partition.Fallback), time.Duration(result.ServedFor))
		}
		return
	}
	limit := max(partition.Fallback, partition.Lease) + 2*simulationStep
	if result.ServedFor < result.LeaseHeldFor || result.ServedFor > limit {
		t.Errorf("fallback of %v: ended after %v, want at least as long as the lease was held and at most %v",
			time.Duration(partition.Fallback), time.Duration(result.ServedFor), time.Duration(limit))
	}
}

// checkActivation checks how long the change waited. It must not come into force without a majority or while a
// fallback conflicts with it.
func checkActivation(t *testing.T, partition Partition, result PartitionResult) {
	t.Helper()
	// Replicas allow for the drift of clocks. The 3 s allow for renewals.
	upperBound := func(span int64) int64 { return int64(float64(span)*1.01/0.99) + 3*int64(time.Second) }
	waits := max(partition.Lease, partition.Fallback)
	delay, ok := result.ActivationDelay, false
	switch {
	case result.MajorityRegion < 0 || partition.ReplaceNode && partition.Fallback > partition.Duration:
		ok = delay < 0
	case partition.ReplaceNode:
		ok = delay >= 0 && delay <= upperBound(waits) && delay >= waits-2e9
	default:
		ok = delay >= 0 && delay <= upperBound(partition.Lease)
	}
	if !ok {
		t.Errorf("change in force after %v (negative: never), which is not as expected", time.Duration(delay))
	}
}
