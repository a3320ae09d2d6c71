package configversion

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A round trip through the scheduler's settings keeps the configuration, whatever the gateway's local settings are.
func TestSettingsAndBackIsTheSame(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		config, other := drawConfig(t), drawConfig(t)
		scaleToMicroseconds(config)
		local := other.Settings(map[string]string{"gateways": "7", "plans.9.name": "old"})
		settings := config.Settings(local)
		if settings["gateways"] != "7" || settings["plans.9.name"] != "" {
			t.Fatalf("got %v, want the local \"gateways\" kept and the local \"plans.9.name\" dropped", settings)
		}
		back := &Config{
			RequiredFormat:   config.RequiredFormat,
			Shards:           config.Shards,
			MeanRequestUnits: config.MeanRequestUnits,
			FallbackPolicy:   config.FallbackPolicy,
			Nodes:            config.Nodes,
		}
		back.SetFromSettings(settings)
		if back.Digest() != config.Digest() {
			t.Fatalf("the configuration\n%s\ncame back from its settings as\n%s", config.Canonical(), back.Canonical())
		}
	})
}

// scaleToMicroseconds turns drawn durations into whole microseconds, the resolution of settings.
func scaleToMicroseconds(c *Config) {
	multiply := func(durations ...*int64) {
		for _, duration := range durations {
			*duration *= nanosPerMicro
		}
	}
	multiply(&c.SlowStart.Duration, &c.SlowStart.Window, &c.RetryBudget.Window)
	multiply(&c.Dispatch.MaxRetryAfter, &c.Dispatch.KeyCooldown)
	for name, class := range c.RequestClasses {
		multiply(&class.LatencyObjective, &class.ClientTimeout, &class.DedupWindow)
		c.RequestClasses[name] = class
	}
}

func TestSettingsOfDenyAllAreFiniteAndNotNegative(t *testing.T) {
	for name, value := range (&Config{Shards: 1}).DenyAll().Settings(nil) {
		if strings.HasPrefix(value, "-") || strings.Contains(value, "Inf") {
			t.Errorf("setting %s is %s, want a finite value that is not negative", name, value)
		}
	}
}
