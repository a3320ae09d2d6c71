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

var errTrailingData = errors.New("something follows after them")

// UnsupportedFormatError means that a configuration requires a newer format than this build knows.
type UnsupportedFormatError struct{ RequiredFormat int }

// Error says which format is required and which is known.
func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("these rules need form %d, this program knows form %d: a newer program is needed",
		e.RequiredFormat, Format)
}

// InvalidError means that a configuration cannot be acted on.
type InvalidError struct{ Reason string }

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Reason }

func invalid(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// Parse reads the canonical form and validates it. Members that this build does not know are refused, so that
// nothing is agreed on that it would ignore.
func Parse(content []byte) (*Config, error) {
	config, err := decode(content)
	if err != nil || config.RequiredFormat > Format {
		// A newer format may have members that this build does not know, so only the format is read.
		var header struct {
			RequiredFormat int `json:"needs"`
		}
		if json.Unmarshal(content, &header) == nil && header.RequiredFormat > Format {
			return nil, &UnsupportedFormatError{RequiredFormat: header.RequiredFormat}
		}
	}
	if err != nil {
		return nil, fmt.Errorf("rules cannot be read: %w", err)
	}
	return config, config.Validate()
}

// decode reads one JSON value without unknown members.
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

// Validate refuses a configuration that cannot be acted on, with an InvalidError.
func (c *Config) Validate() error {
	if c.RequiredFormat < 1 || c.Shards < 1 {
		return invalid("form %d and %d shards: both are at least 1", c.RequiredFormat, c.Shards)
	}
	if len(c.ServiceLevels) == 0 {
		return invalid("there is no plan")
	}
	for _, name := range sortedNames(c.ServiceLevels) {
		if level := c.ServiceLevels[name]; level.Weight <= 0 {
			return invalid("plan %q: weight %v is not above 0", name, level.Weight)
		}
	}
	for _, name := range sortedNames(c.RequestClasses) {
		if err := c.RequestClasses[name].validate(name); err != nil {
			return err
		}
	}
	for _, amount := range c.amounts() {
		if math.IsNaN(amount) || math.IsInf(amount, 0) || amount < 0 {
			return invalid("%v is no amount", amount)
		}
	}
	if c.FallbackPolicy.LimitFraction > 1 || c.FallbackPolicy.Duration < 0 || c.Dispatch.MaxAttempts < 1 {
		return invalid("floor for %d with %v of the limits, executions %d",
			c.FallbackPolicy.Duration, c.FallbackPolicy.LimitFraction, c.Dispatch.MaxAttempts)
	}
	return c.validateNodes()
}

// amounts lists all numbers that have to be finite and not negative.
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
		return invalid("product %q: there is no kind %q", name, r.Idempotency)
	}
	if r.LatencyObjective <= 0 || r.ClientTimeout < r.LatencyObjective || r.DedupWindow < 0 {
		return invalid("product %q: goal %d, patience %d, window %d",
			name, r.LatencyObjective, r.ClientTimeout, r.DedupWindow)
	}
	return nil
}

// validateNodes checks that each node has a shard and a health that exist, and each shard one ready node at most.
func (c *Config) validateNodes() error {
	owners := map[int]string{}
	for _, addr := range sortedNames(c.Nodes) {
		node := c.Nodes[addr]
		if node.Shard < 0 || node.Shard >= c.Shards {
			return invalid("node %q: there is no shard %d of %d", addr, node.Shard, c.Shards)
		}
		if node.Health > endpoint.Unhealthy {
			return invalid("node %q: there is no standing %d", addr, node.Health)
		}
		if node.Health != endpoint.Ready {
			continue
		}
		if other := owners[node.Shard]; other != "" {
			return invalid("nodes %q and %q are both ready for shard %d: one has to drain", other, addr, node.Shard)
		}
		owners[node.Shard] = addr
	}
	return nil
}
