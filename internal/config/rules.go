package config

import (
	"fmt"
	"strconv"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/scheduler"
)

// rulesForm is what gateways agree on, as it stands in a file: the blocks of a gateway's configuration that are the same at all,
// the floor, and the list of nodes in our own form.
type rulesForm struct {
	Shards     hcl.Expression  `hcl:"shards"`
	Units      *unitsForm      `hcl:"units,block"`
	Cold       *coldForm       `hcl:"cold,block"`
	Further    *furtherForm    `hcl:"further,block"`
	Executions *executionsForm `hcl:"executions,block"`
	Dismissals *dismissalsForm `hcl:"dismissals,block"`
	Order      *orderForm      `hcl:"order,block"`
	Floor      *floorForm      `hcl:"floor,block"`
	Plans      []planForm      `hcl:"plan,block"`
	Products   []productForm   `hcl:"product,block"`
	Nodes      hcl.Body        `hcl:",remain"`
}

type floorForm struct {
	For    hcl.Expression `hcl:"for"`
	Limits hcl.Expression `hcl:"limits,optional"`
	Writes bool           `hcl:"writes,optional"`
}

// ParseRules reads a file of rules. What it refuses it names with file, line and column.
func ParseRules(file string, src []byte) (*configversion.Config, error) {
	f, diags := hclparse.NewParser().ParseHCL(src, file)
	if diags.HasErrors() {
		return nil, problems(diags)
	}
	var form rulesForm
	if diags := gohcl.DecodeBody(f.Body, nil, &form); diags.HasErrors() {
		return nil, problems(diags)
	}
	if form.Units == nil {
		form.Units = &unitsForm{}
	}
	r := &reader{}
	g := &Config{RequestClasses: map[string]*RequestClass{}, Settings: scheduler.Settings{}}
	whole := &fileForm{Cold: form.Cold, Further: form.Further, Executions: form.Executions, Dismissals: form.Dismissals, Order: form.Order,
		Plans: form.Plans, Products: form.Products}
	whole.Gateway.Range = f.Body.MissingItemRange()
	r.rules(whole, g.Settings)
	r.plans(whole, g)
	r.products(whole, g)
	out := &configversion.Config{RequiredFormat: configversion.Format, Shards: r.count(form.Shards, 1, 1<<16, 1), MeanRequestUnits: r.number(form.Units.Mean, 1e-3, 1e6, 1)}
	if b := form.Floor; b != nil {
		out.FallbackPolicy = configversion.FallbackPolicy{Duration: int64(r.span(b.For, 0, 30*24*time.Hour, 0)), LimitFraction: r.number(b.Limits, 0, 1, 1), AllowWrites: b.Writes}
	}
	if r.diags.HasErrors() {
		return nil, problems(r.diags)
	}
	list, err := endpoint.DecodeList(form.Nodes)
	if err != nil {
		return nil, err
	}
	out.SetFromSettings(g.Settings)
	for _, n := range list.Nodes {
		out.Nodes[n.Addr] = configversion.Node{Name: n.Name, Zone: n.Zone, Shard: n.Shard, StartedAt: n.StartedAt, Health: n.Health, Weight: n.Weight}
	}
	if err := out.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return out, nil
}

// Contradictions tells in what a gateway's own configuration parts from rules, in words.
func (g *Config) Contradictions(r *configversion.Config) []string {
	own := &configversion.Config{RequiredFormat: r.RequiredFormat, Shards: g.Shards, Nodes: r.Nodes, FallbackPolicy: r.FallbackPolicy}
	own.MeanRequestUnits, _ = strconv.ParseFloat(g.Settings["units.mean"], 64)
	own.SetFromSettings(g.Settings)
	return configversion.Conflicts(own, r)
}
