package configversion

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestParseOfCanonicalFormIsTheSame(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		config, other := drawConfig(t), drawConfig(t)
		parsed, err := Parse(config.Canonical())
		if err != nil || !reflect.DeepEqual(parsed, config) || parsed.Digest() != config.Digest() {
			t.Fatalf("parsing the canonical form: got error %v, or another configuration than %s", err, config.Canonical())
		}
		if _, err := (&Version{Number: 3, Digest: config.Digest(), Content: config.Canonical()}).Config(); err != nil {
			t.Fatal(err)
		}
		same := other.Digest() == config.Digest()
		if differences := Diff(config, other); same != (len(differences) == 0) {
			t.Fatalf("same digest: %t, but Diff returned %v", same, differences)
		}
		if same {
			return
		}
		if _, err := (&Version{Digest: other.Digest(), Content: config.Canonical()}).Config(); err == nil {
			t.Fatal("Config accepted a content under the digest of another")
		}
	})
}

func TestValidateRefusesWhatCannotBeActedOn(t *testing.T) {
	valid := func() *Config {
		return &Config{
			RequiredFormat:   1,
			Shards:           2,
			MeanRequestUnits: 1,
			ServiceLevels:    map[string]ServiceLevel{"gold": {Weight: 1}},
			RequestClasses:   map[string]RequestClass{"read": {Idempotency: Idempotent, LatencyObjective: 1, ClientTimeout: 2}},
			Nodes:            map[string]Node{"a": {}, "b": {Shard: 1}},
			Dispatch:         DispatchPolicy{MaxAttempts: 3},
		}
	}
	if err := valid().Validate(); err != nil {
		t.Fatal(err)
	}
	unknown := RequestClass{Idempotency: "sometimes", LatencyObjective: 1, ClientTimeout: 2}
	timeoutTooShort := RequestClass{Idempotency: Idempotent, LatencyObjective: 3, ClientTimeout: 2}
	for want, change := range map[string]func(*Config){
		"both ready":               func(c *Config) { c.Nodes["b"] = Node{} },
		"does not exist":           func(c *Config) { c.Nodes["b"] = Node{Shard: 2} },
		"unknown kind":             func(c *Config) { c.RequestClasses["read"] = unknown },
		"patience":                 func(c *Config) { c.RequestClasses["read"] = timeoutTooShort },
		"no plan":                  func(c *Config) { c.ServiceLevels = nil },
		"must be finite":           func(c *Config) { c.ServiceLevels["gold"] = ServiceLevel{Weight: 1, RateLimit: -1} },
		"weight 0 must be above 0": func(c *Config) { c.ServiceLevels["gold"] = ServiceLevel{} },
		"both must be at least 1":  func(c *Config) { c.Shards = 0 },
		"of the limit":             func(c *Config) { c.FallbackPolicy.LimitFraction = 1.5 },
	} {
		t.Run(want, func(t *testing.T) {
			config := valid()
			change(config)
			err := config.Validate()
			var invalid *InvalidError
			if !errors.As(err, &invalid) || !strings.Contains(err.Error(), want) {
				t.Errorf("got error %v, want an InvalidError with the text that names this subtest", err)
			}
		})
	}
}

func TestParseRefusesNewerFormatsAndUnknownMembers(t *testing.T) {
	var newer *UnsupportedFormatError
	if _, err := Parse([]byte(`{"needs": 2, "moons": 4}`)); !errors.As(err, &newer) || newer.RequiredFormat != 2 {
		t.Errorf("a newer format: got error %v, want an UnsupportedFormatError for format 2", err)
	}
	if _, err := Parse([]byte(`{"needs": 1, "moons": 4}`)); err == nil || !strings.Contains(err.Error(), "moons") {
		t.Errorf("an unknown member: got error %v, want one that names it", err)
	}
}
