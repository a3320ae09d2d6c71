package configversion

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"

	"irispost/internal/endpoint"
)

var errTrailingData = errors.New("unexpected data after the JSON value")

// UnsupportedFormatError means that a configuration requires a newer format than this build supports.
type UnsupportedFormatError struct{ RequiredFormat int }

// Error says which format is required and which this build supports.
func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("the configuration requires format %d, but this build supports formats up to %d: upgrade irispost",
		e.RequiredFormat, Format)
}

// InvalidError means that a configuration is well-formed but not valid.
type InvalidError struct{ Reason string }

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Reason }

func invalid(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// Parse decodes a configuration and validates it. Unknown members are rejected, so that a gateway never agrees to a
// configuration of which it would ignore a part.
func Parse(content []byte) (*Config, error) {
	config, err := decode(content)
	if err != nil || config.RequiredFormat > Format {
		// A newer format may have members that this build does not know, so decode only the required format.
		var header struct {
			RequiredFormat int `json:"needs"`
		}
		if json.Unmarshal(content, &header) == nil && header.RequiredFormat > Format {
			return nil, &UnsupportedFormatError{RequiredFormat: header.RequiredFormat}
		}
	}
	if err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	return config, config.Validate()
}

// decode reads exactly one JSON value and rejects unknown members.
func decode(content []byte) (*Config, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	config := &Config{}
	if err := decoder.Decode(config); err != nil {
		return config, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return config, errTrailingData
	}
	return config, nil
}

// Validate returns an InvalidError if the configuration cannot be acted on.
func (c *Config) Validate() error {
	if c.RequiredFormat < 1 || c.Shards < 1 {
		return invalid("required format %d and %d shards: both must be at least 1", c.RequiredFormat, c.Shards)
	}
	if len(c.ServiceLevels) == 0 {
		return invalid("no plan is defined")
	}
	for _, name := range sortedNames(c.ServiceLevels) {
		if level := c.ServiceLevels[name]; level.Weight <= 0 {
			return invalid("plan %q: weight %v must be above 0", name, level.Weight)
		}
	}
	for _, name := range sortedNames(c.RequestClasses) {
		if err := c.RequestClasses[name].validate(name); err != nil {
			return err
		}
	}
	for _, amount := range c.amounts() {
		if math.IsNaN(amount) || math.IsInf(amount, 0) || amount < 0 {
			return invalid("amount %v must be finite and not negative", amount)
		}
	}
	if c.FallbackPolicy.LimitFraction > 1 || c.FallbackPolicy.Duration < 0 || c.Dispatch.MaxAttempts < 1 {
		return invalid("floor for %d ns with %v of the limits, %d executions: want at least 0 ns, at most 1 and at least 1",
			c.FallbackPolicy.Duration, c.FallbackPolicy.LimitFraction, c.Dispatch.MaxAttempts)
	}
	return c.validateNodes()
}

// amounts lists the floating-point settings, which have to be finite and not negative.
func (c *Config) amounts() []float64 {
	list := []float64{
		c.MeanRequestUnits,
		c.SlowStart.InitialShare,
		c.SlowStart.FairShareMultiple,
		c.SlowStart.MinimumUnits,
		c.RetryBudget.FreeRetries,
		c.RetryBudget.RequestShare,
		c.FallbackPolicy.LimitFraction,
	}
	for _, name := range sortedNames(c.ServiceLevels) {
		level := c.ServiceLevels[name]
		list = append(list, level.Weight, level.NominalRate, level.Reserve, level.RateLimit, level.Burst, level.Slack)
	}
	return list
}

func (r RequestClass) validate(name string) error {
	if _, known := strictness[r.Idempotency]; !known {
		return invalid("product %q: unknown kind %q", name, r.Idempotency)
	}
	if r.LatencyObjective <= 0 || r.ClientTimeout < r.LatencyObjective || r.DedupWindow < 0 {
		return invalid("product %q: goal %d must be above 0, patience %d at least the goal, window %d at least 0",
			name, r.LatencyObjective, r.ClientTimeout, r.DedupWindow)
	}
	return nil
}

// validateNodes checks that each node has an existing shard and a known health, and each shard at most one ready node.
func (c *Config) validateNodes() error {
	owners := map[int]string{}
	for _, addr := range sortedNames(c.Nodes) {
		node := c.Nodes[addr]
		if node.Shard < 0 || node.Shard >= c.Shards {
			return invalid("node %q: shard %d does not exist, there are %d shards", addr, node.Shard, c.Shards)
		}
		if node.Health > endpoint.Unhealthy {
			return invalid("node %q: unknown standing %d", addr, node.Health)
		}
		if node.Health != endpoint.Ready {
			continue
		}
		if other := owners[node.Shard]; other != "" {
			return invalid("nodes %q and %q are both ready for shard %d: one of them must drain", other, addr, node.Shard)
		}
		owners[node.Shard] = addr
	}
	return nil
}
