package capacity_test

import (
	"fmt"
	"testing"

	"irispost/internal/fleet/configversion"
)

// TestMeasureVersion measures, by nodes, the size of a configuration version's content and the time to compute its
// digest, to parse it and to compare it with another one. The nodes have names, zones and start times.
func TestMeasureVersion(t *testing.T) {
	m := beginMeasurement(t)
	const count = 30
	for _, nodes := range []int{200, 900, 1800} {
		size := float64(nodes)
		config, other := versionConfig(nodes, 10), versionConfig(nodes, 9)
		content := config.Canonical()
		parse := func(int) {
			if _, err := configversion.Parse(content); err != nil {
				t.Fatal(err)
			}
		}
		digest := func(int) { config.Digest() }
		compare := func(int) { configversion.Conflicts(config, other) }
		m.addMeasured("version_bytes_by_nodes", "bytes", "nodes", size, float64(len(content)))
		m.addMeasured("version_make_ms_by_nodes", "ms", "nodes", size, meanMicros(count, digest)/1e3)
		m.addMeasured("version_read_ms_by_nodes", "ms", "nodes", size, meanMicros(count, parse)/1e3)
		m.addMeasured("version_compare_ms_by_nodes", "ms", "nodes", size, meanMicros(count, compare)/1e3)
	}
	m.save()
}

// TestMeasureVersionMemory measures the memory of a parsed version, as the mean of fifty.
func TestMeasureVersionMemory(t *testing.T) {
	m := beginMeasurement(t)
	for _, nodes := range []int{200, 900, 1800} {
		content := versionConfig(nodes, 10).Canonical()
		configs := make([]*configversion.Config, 50)
		before := heapKB()
		for i := range configs {
			var err error
			if configs[i], err = configversion.Parse(content); err != nil {
				t.Fatal(err)
			}
		}
		m.addMeasured("version_kb_by_nodes", "KB", "nodes", float64(nodes), (heapKB()-before)/float64(len(configs)))
		for _, config := range configs { // keeps them reachable until after the measurement
			if len(config.Nodes) != nodes || len(content) == 0 {
				t.Fatal("a parsed version lost nodes, or its content is empty")
			}
		}
	}
	m.save()
}

// versionConfig returns a configuration whose nodes have names, zones and start times.
func versionConfig(nodes int, limit float64) *configversion.Config {
	config := &configversion.Config{
		RequiredFormat:   configversion.Format,
		Shards:           nodes,
		MeanRequestUnits: 1,
		ServiceLevels:    map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: limit}},
		RequestClasses:   map[string]configversion.RequestClass{},
		Dispatch:         configversion.DispatchPolicy{MaxAttempts: 1},
		Nodes:            map[string]configversion.Node{},
	}
	for i := range nodes {
		config.Nodes[fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)] = configversion.Node{
			Name:      fmt.Sprintf("store-%04d.zone%d.example.net", i, i%7),
			Zone:      fmt.Sprint("zone", i%7),
			Shard:     i,
			StartedAt: 1_700_000_000_000_000_000 + int64(i)*1_000_003,
			Weight:    1,
		}
	}
	return config
}
