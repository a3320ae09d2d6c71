package scale

import (
	"fmt"
	"maps"

	"irispost/decide"
	"irispost/internal/fleet/rules"
)

// first is the rules that a fleet begins with: nodes with names, zones and ages.
func first(s *Size) *rules.Rules {
	r := &rules.Rules{Needs: rules.Form, Shards: s.Nodes, Mean: 1,
		Plans: map[string]rules.Plan{"gold": {Weight: 4, Rate: 20, Reserve: 40, Limit: 1000, Burst: 1000, Slack: 100},
			"basic": {Weight: 1, Rate: 10, Reserve: 40}},
		Products: map[string]rules.Product{"read": {Kind: rules.Anywhere, Goal: 2e9, Patience: 20e9}, "write": {Kind: rules.AtShard, Goal: 2e9, Patience: 20e9, Window: 30e9}},
		Cold:     rules.Cold{From: 0.2, Time: 8e9, Multiple: 2, Window: 1500e6, Units: 6},
		Further:  rules.Further{Window: 10e9, Free: 10, Share: 0.1},
		Sending:  rules.Sending{Most: 3, SecondCopies: true, CallingOff: true, Advice: true, AdviceMost: 5e9},
		Floor:    rules.Floor{For: int64(s.Floor), Limits: 1, Writes: true}, Nodes: map[string]rules.Node{}}
	for i := range s.Nodes {
		r.Nodes[address(i, 0)] = entry(s, i, 0)
	}
	return r
}

// address is where a shard's node is, after so many were replaced.
func address(shard, replaced int) string {
	return fmt.Sprintf("10.%d.%d.%d:7000", 10+replaced, shard>>8, shard&255)
}

// entry is a shard's node. It has stood for long, so that what is seen of a replacement is not how cold it is.
func entry(s *Size, shard, replaced int) rules.Node {
	return rules.Node{Name: fmt.Sprintf("store-%04d-%d.zone%d.example.net", shard, replaced, s.zone(shard)), Zone: fmt.Sprintf("zone%d", s.zone(shard)),
		Shard: shard, Born: 1_700_000_000_000_000_000 + int64(shard)*1_000_003, Weight: 1}
}

// copied is rules that can be changed without the others.
func copied(r *rules.Rules) *rules.Rules {
	c := *r
	c.Plans, c.Products, c.Nodes = maps.Clone(r.Plans), maps.Clone(r.Products), maps.Clone(r.Nodes)
	return &c
}

// tune is an ordinary change: nothing that was allowed before contradicts it.
func tune(r *rules.Rules) {
	p := r.Plans["gold"]
	p.Limit++
	r.Plans["gold"] = p
}

// replace has a shard served by another node, as the one before is lost. It returns both.
func replace(s *Size, shard, times int) (old, successor string, change func(*rules.Rules)) {
	old, successor = address(shard, times-1), address(shard, times)
	return old, successor, func(r *rules.Rules) {
		delete(r.Nodes, old)
		r.Nodes[successor] = entry(s, shard, times)
	}
}

// own is what each gateway has of its own, beside what is agreed on.
func own(s *Size) decide.Terms {
	return decide.Terms{"units.mean": "1", "units.largest": "16", "gateways": fmt.Sprint(s.Gateways)}
}
