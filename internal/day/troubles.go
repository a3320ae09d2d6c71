package day

import (
	"cmp"
	"context"
	"slices"
	"time"

	"irispost/internal/audit"
	"irispost/internal/endpoint"
	"irispost/internal/standin"
)

// act is something that happens at a time of the day.
type act struct {
	at Span
	do func()
}

// troubles lets the day go by with what happens in it.
func (t *town) troubles(ctx context.Context) {
	acts := []act{{t.script.Length, func() {}}}
	for _, trouble := range t.script.Faults {
		acts = append(acts, t.acts(trouble)...)
	}
	for _, c := range t.script.Fleet.Changes {
		for at, round := c.At, 0; at <= t.script.Length && (round == 0 || c.Every > 0); at, round = at+c.Every, round+1 {
			acts = append(acts, act{at, func() { t.fleet.change(c, round) }})
		}
	}
	slices.SortStableFunc(acts, func(a, b act) int { return cmp.Compare(a.at, b.at) })
	began := time.Now()
	for _, a := range acts {
		if a.at > t.script.Length {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(a.at))):
			a.do()
		}
	}
}

// acts are the steps of a trouble.
func (t *town) acts(tr FaultPlan) []act {
	end := tr.At + tr.For
	if tr.Replica != "" || len(tr.Between) > 0 || tr.Action == "stop" {
		return t.fleet.acts(tr)
	}
	if tr.ManagementServer != "" {
		return []act{{tr.At, func() {
			if t.plane == nil {
				return // a file has none of its troubles
			}
			t.opt.Logf("management server: %s", tr.ManagementServer)
			if err := t.plane.Command(tr.ManagementServer); err != nil {
				t.opt.Logf("management server: %v", err)
			}
		}}}
	}
	if tr.Gateway != "" {
		return t.kill(tr, end)
	}
	p := t.nodes[tr.Node]
	now := func() *standin.Node {
		t.lock.Lock()
		defer t.lock.Unlock()
		return p.node
	}
	var old *standin.Node
	switch tr.Action {
	case "die": // the list notices; a cold one comes at the end
		return []act{
			{tr.At, func() {
				old = now()
				t.opt.Logf("%s dies", tr.Node)
				old.Close()
			}},
			{tr.At + noticed, func() { t.stand(p, old.Addr(), endpoint.Removed) }},
			{end, func() { t.fresh(tr.Node, p) }},
		}
	case "replace": // the old one is listed as draining when its successor stands
		return []act{
			{tr.At, func() {
				old = now()
				t.opt.Logf("%s starts anew, cold", tr.Node)
				if err := t.startNode(p, true); err != nil {
					t.opt.Logf("%s does not start: %v", tr.Node, err)
					return
				}
				t.stand(p, old.Addr(), endpoint.Draining) // the list has both at once
			}},
			{tr.At + farewell, func() { t.stand(p, old.Addr(), endpoint.Removed) }},
			{tr.At + farewell + noticed, func() { old.Close() }},
		}
	}
	command := func(text string) func() {
		return func() {
			t.opt.Logf("%s: %s", tr.Node, text)
			if err := now().Command(text); err != nil {
				t.opt.Logf("%s: %v", tr.Node, err)
			}
		}
	}
	acts := []act{{tr.At, command(tr.Action)}}
	if tr.For > 0 {
		acts = append(acts, act{end, command("well")})
	}
	return acts
}

// fresh starts a cold node in a place and lists it.
func (t *town) fresh(name string, p *place) {
	t.opt.Logf("%s starts anew, cold", name)
	if err := t.startNode(p, true); err != nil {
		t.opt.Logf("%s does not start: %v", name, err)
		return
	}
	if err := t.list(); err != nil {
		t.opt.Logf("the list cannot be written: %v", err)
	}
}

// kill kills a gateway outright, and starts it again at the end.
func (t *town) kill(tr FaultPlan, end Span) []act {
	i := slices.IndexFunc(t.hosts, func(h *host) bool { return h.name == tr.Gateway })
	h := t.hosts[i]
	return []act{
		{tr.At, func() {
			t.opt.Logf("%s is killed", h.name)
			t.record.Add(audit.Event{Type: audit.GatewayKilled, Gateway: h.name})
			h.stop()
			if t.fleet != nil {
				t.fleet.ended(h)
			}
		}},
		{end, func() {
			t.opt.Logf("%s starts again", h.name)
			if err := t.startGateway(h); err != nil {
				t.opt.Logf("%s does not start: %v", h.name, err)
			}
		}},
	}
}
