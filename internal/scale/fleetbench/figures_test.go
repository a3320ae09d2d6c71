package fleetbench

import (
	"math"
	"reflect"
	"testing"
	"time"

	"irispost/internal/scale/meter"
)

// usageOf returns the usage of a change in a fleet with two gateways.
func usageOf(kind ChangeKind, inForce time.Duration, firstGateway, secondGateway, leaderBytes int64) changeUsage {
	return changeUsage{
		kind:        kind,
		announced:   inForce / 2,
		inForce:     inForce,
		span:        5 * time.Second,
		gateways:    []int64{firstGateway, secondGateway},
		leader:      2,
		leaderBytes: leaderBytes,
		cpu:         3 * time.Second,
	}
}

// exampleFigures returns the figures of four changes: one while a killed replica was down, one with another leader.
func exampleFigures() *Figures {
	idle := &idleUsage{
		span:        10 * time.Second,
		gateways:    []int64{4000, 6000},
		leader:      2,
		leaderBytes: 9000,
		cpu:         2 * time.Second,
		replicaCPU:  []time.Duration{time.Second, 4 * time.Second, 2 * time.Second},
	}
	whileKilled := usageOf(LimitChange, 9*time.Second, 1<<20, 1<<20, 1<<20)
	whileKilled.whileKilled = true
	otherLeader := usageOf(NodeReplacement, 3*time.Second, 2600, 3600, 1<<20)
	otherLeader.leader = 1
	figures := &Figures{}
	figures.fill(idle, []changeUsage{
		usageOf(NodeReplacement, time.Second, 2100, 3200, 5000),
		usageOf(LimitChange, 2*time.Second, 2300, 3400, 5500),
		otherLeader,
		whileKilled,
	})
	return figures
}

// The idle usage is subtracted, and changes while a killed replica is down are counted separately.
func TestFiguresAreOverIdleAndWithoutKilledReplica(t *testing.T) {
	f := exampleFigures()
	day := 950.0 / 86400
	for name, c := range map[string]struct{ got, want float64 }{
		"idle":                 {f.IdleBytesPerSecond, 500},
		"change":               {f.ChangeBytes, 300}, // 100, 200, 300, 400, 600, 600
		"change mean":          {f.ChangeBytesMean, 2200.0 / 6},
		"change worst":         {f.ChangeBytesWorst, 600},
		"day":                  {f.BytesPerSecondWithChanges, 500 + day*2200/6},
		"core":                 {f.FollowerCPU, 0.1},
		"core on a day":        {f.FollowerCPUWithChanges, 0.1 + day}, // 3 s minus 1 s of idle, over two gateways
		"leader":               {f.LeaderCPU, 0.4},
		"others":               {f.OtherReplicasCPU, 0.15},
		"leader bytes":         {f.LeaderBytesPerChange, 750}, // mean of 500 and 1000; the other leader's is excluded
		"changes while killed": {float64(f.ChangesWhileKilled), 1},
	} {
		if math.Abs(c.got-c.want) > 1e-9*c.want {
			t.Errorf("%s: got %v, want %v", name, c.got, c.want)
		}
	}
}

func TestFiguresHaveTimesByKindAndOfKilledReplicaApart(t *testing.T) {
	f := exampleFigures()
	if f.InForceWhileKilled == nil {
		t.Fatal("got no times of changes while a replica was killed, want those of one change")
	}
	for name, c := range map[string]struct{ got, want any }{
		"in force":     {f.InForce, meter.Quantiles{P50: 2000, P99: 3000, Worst: 3000}},
		"announced":    {f.Announced, meter.Quantiles{P50: 1000, P99: 1500, Worst: 1500}},
		"while killed": {*f.InForceWhileKilled, meter.Quantiles{P50: 9000, P99: 9000, Worst: 9000}},
		"by kind": {f.InForceByKind, map[ChangeKind]meter.Quantiles{
			NodeReplacement: {P50: 1000, P99: 3000, Worst: 3000},
			LimitChange:     {P50: 2000, P99: 2000, Worst: 2000},
		}},
		"kinds": {f.Kinds, map[ChangeKind]int{NodeReplacement: 2, LimitChange: 2}},
	} {
		if !reflect.DeepEqual(c.got, c.want) {
			t.Errorf("%s: got %+v, want %+v", name, c.got, c.want)
		}
	}
}
