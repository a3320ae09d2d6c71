package config

import (
	"fmt"
	"strconv"

	"github.com/hashicorp/hcl/v2"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/scheduler"
)

// versionFile is the content of a configuration version as operators write it: the scheduling blocks, as in a
// gateway's configuration, the fallback policy, and the endpoint list in the format of package endpoint.
type versionFile struct {
	Shards         hcl.Expression      `hcl:"shards"`
	Units          *unitsBlock         `hcl:"units,block"`
	SlowStart      *slowStartBlock     `hcl:"cold,block"`
	Retries        *retriesBlock       `hcl:"further,block"`
	Attempts       *attemptsBlock      `hcl:"executions,block"`
	Rejections     *rejectionsBlock    `hcl:"dismissals,block"`
	KeyOrder       *keyOrderBlock      `hcl:"order,block"`
	Fallback       *fallbackBlock      `hcl:"floor,block"`
	ServiceLevels  []serviceLevelBlock `hcl:"plan,block"`
	RequestClasses []requestClassBlock `hcl:"product,block"`
	Endpoints      hcl.Body            `hcl:",remain"`
}

type fallbackBlock struct {
	Duration      hcl.Expression `hcl:"for"`
	LimitFraction hcl.Expression `hcl:"limits,optional"`
	AllowWrites   bool           `hcl:"writes,optional"`
}

func (f *versionFile) scheduling(missing hcl.Range) schedulingBlocks {
	return schedulingBlocks{SlowStart: f.SlowStart, Retries: f.Retries, Attempts: f.Attempts, Rejections: f.Rejections,
		KeyOrder: f.KeyOrder, ServiceLevels: f.ServiceLevels, RequestClasses: f.RequestClasses, Missing: missing}
}

// ParseVersion validates the text of a configuration version. Errors refer to it as file; they are of type Problems
// if a key or value is invalid.
func ParseVersion(file string, src []byte) (*configversion.Config, error) {
	var blocks versionFile
	body, err := decode(file, src, &blocks)
	if err != nil {
		return nil, err
	}
	d := &decoder{}
	c := &Config{RequestClasses: map[string]*RequestClass{}, Settings: scheduler.Settings{}}
	scheduling := blocks.scheduling(body.MissingItemRange())
	d.scheduling(&scheduling, c.Settings)
	d.serviceLevels(&scheduling, c.Settings)
	d.requestClasses(&scheduling, c)
	version := &configversion.Config{
		RequiredFormat:   configversion.Format,
		Shards:           d.count(blocks.Shards, 1, 1<<16, 1),
		MeanRequestUnits: d.number(orEmpty(blocks.Units).Mean, 1e-3, 1e6, 1),
	}
	if block := blocks.Fallback; block != nil {
		version.FallbackPolicy = configversion.FallbackPolicy{
			Duration:      int64(d.duration(block.Duration, 0, 30*day, 0)),
			LimitFraction: d.number(block.LimitFraction, 0, 1, 1),
			AllowWrites:   block.AllowWrites,
		}
	}
	if d.diags.HasErrors() {
		return nil, problemsOf(d.diags)
	}
	list, err := endpoint.DecodeList(blocks.Endpoints)
	if err != nil {
		return nil, err
	}
	version.SetFromSettings(c.Settings)
	for _, n := range list.Nodes {
		version.Nodes[n.Addr] = configversion.Node{Name: n.Name, Zone: n.Zone, Shard: n.Shard, StartedAt: n.StartedAt,
			Health: n.Health, Weight: n.Weight}
	}
	if err := version.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return version, nil
}

// Conflicts lists where a gateway's own settings conflict with a configuration version, one line for each conflict.
func (c *Config) Conflicts(version *configversion.Config) []string {
	own := &configversion.Config{RequiredFormat: version.RequiredFormat, Shards: c.Shards, Nodes: version.Nodes,
		FallbackPolicy: version.FallbackPolicy}
	own.MeanRequestUnits, _ = strconv.ParseFloat(c.Settings["units.mean"], 64) // written by formatNumber
	own.SetFromSettings(c.Settings)
	return configversion.Conflicts(own, version)
}
