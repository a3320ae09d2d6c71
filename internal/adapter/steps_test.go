package adapter_test

import (
	"fmt"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/internal/gateway"
	"irispost/internal/platform"
	"irispost/scheduler"
)

// submit submits a request in a new session.
func (s *scenario) submit() {
	s.submitted++
	session := gateway.NewSession(fmt.Sprintf("n1/%d", s.submitted))
	spec := &gateway.RequestSpec{
		Volume: &gateway.Volume{
			ID:           int64(rapid.IntRange(1, 4).Draw(s.t, "volume")),
			ServiceLevel: rapid.SampledFrom([]string{"basic", "gold"}).Draw(s.t, "service level"),
			GatewayCount: 2,
		},
		Class:    rapid.SampledFrom([]string{"read", "write"}).Draw(s.t, "class"),
		Units:    float64(rapid.IntRange(1, 8).Draw(s.t, "units")),
		Key:      int64(rapid.IntRange(1, 9).Draw(s.t, "key")),
		HasKey:   true,
		Deadline: s.clock.Now() + 1e6*scheduler.Time(rapid.IntRange(1, 900).Draw(s.t, "time left")),
		Call:     node.Call{Op: node.GetObject, Shard: rapid.IntRange(-1, 3).Draw(s.t, "shard")},
	}
	write := 0
	if spec.Class == "write" {
		spec.Call.Op, write = node.PutObject, 1
	}
	id := fmt.Sprintf("n1/%d:0#%d", s.submitted, s.submitted)
	s.requests[id] = &submittedRequest{session: session, deadline: spec.Deadline}
	s.requests[id].result = s.loop.Submit(session, spec)
	s.writeBatch("REQ|3|%s|0|2|%d|%v|%d|%s|%s|%d|%s|%d", id, spec.Volume.ID, spec.Units, write, spec.Volume.ServiceLevel,
		wireTime(spec.Deadline), spec.Key, spec.Class, spec.Call.Shard)
}

// collectResults marks the requests whose result has arrived.
func (s *scenario) collectResults() {
	for _, r := range s.requests {
		select {
		case <-r.result:
			r.finished = true
		default:
		}
	}
}

// wireOutcomes maps the outcomes of the node clients to the completion codes of the simulator.
var wireOutcomes = map[node.Outcome]int{node.Executed: 1, node.Failed: 0, node.QueueFull: 2, node.ConnectFailed: 4,
	node.ConnectionReset: 5, node.WrongShard: 7}

// reply ends a random attempt in flight with a random outcome.
func (s *scenario) reply() {
	list := s.nodes.inFlight()
	if len(list) == 0 {
		return
	}
	a := rapid.SampledFrom(list).Draw(s.t, "attempt")
	outcome := rapid.SampledFrom([]node.Outcome{node.Executed, node.Executed, node.Executed, node.Failed, node.QueueFull,
		node.WrongShard, node.ConnectFailed, node.ConnectionReset}).Draw(s.t, "outcome")
	elsewhere := 0
	if outcome == node.Executed {
		elsewhere = rapid.IntRange(0, 3).Draw(s.t, "units elsewhere")
	}
	s.collectResults()
	final := 0
	if s.requests[a.call.RequestID].finished || outcome == node.Executed {
		final = 1
	}
	a.ended = true
	a.done(node.Reply{Outcome: outcome, UnitsElsewhere: float64(elsewhere)})
	s.writeBatch("ANSWER|3|%s|%d|%s|%d|%s|%d|0|%d|-", a.call.RequestID, a.call.Attempt, a.addr, wireOutcomes[outcome],
		wireTime(s.clock.Now()-a.sentAt), final, elsewhere)
}

// cancelRequest closes the session of a random unfinished request.
func (s *scenario) cancelRequest() {
	s.collectResults()
	var ids []string
	for id, r := range s.requests {
		if !r.finished && r.deadline > s.clock.Now() {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(s.t, "request")
	s.requests[id].finished = true
	s.loop.CloseSession(s.requests[id].session)
	s.writeBatch("WITHDRAWN|3|%s", id)
}

// updateEndpoints sends a random endpoint list, complete or partial.
func (s *scenario) updateEndpoints() {
	complete := rapid.Bool().Draw(s.t, "complete")
	mode := "update"
	if complete {
		mode = "replace"
	}
	list, entries := s.drawList(complete)
	s.loop.UpdateEndpoints(list)
	s.writeBatch("BACKENDS_CHANGED|3|%s|2|%d%s", mode, len(list.Nodes), entries)
}

// drawList returns a random endpoint list, and its entries in the form of the simulator.
func (s *scenario) drawList(complete bool) (list endpoint.List, entries string) {
	list.Partial = !complete
	for i := range rapid.IntRange(0, 4).Draw(s.t, "nodes") {
		n := endpoint.Node{Addr: nodeAddr(i), Zone: "z", Shard: i}
		n.Health = endpoint.Health(rapid.IntRange(0, 2).Draw(s.t, "health"))
		if rapid.Bool().Draw(s.t, "restarted") {
			n.StartedAt = s.clock.Now()
			s.startedAt[n.Addr] = n.StartedAt
		}
		list.Nodes = append(list.Nodes, n)
		availability := []string{"ready", "draining", "gone"}[n.Health]
		entries += fmt.Sprintf("\nENTRY|1|k|z|%s|%s|%d|%s", n.Addr, wireTime(n.StartedAt), i, availability)
	}
	return list, entries
}

// changeConfig puts random settings and a random endpoint list in force at both schedulers.
func (s *scenario) changeConfig() {
	platformFile, wireText := platformSettings, wireSettings
	for i, v := range settingsVariants {
		if rapid.Bool().Draw(s.t, fmt.Sprint("variant ", i)) {
			platformFile = strings.ReplaceAll(platformFile, v.platformOld, v.platformNew)
			wireText = strings.ReplaceAll(wireText, v.wireOld, v.wireNew)
		}
	}
	conf, err := platform.Parse([]byte(platformFile), func(string) string { return "" })
	if err != nil {
		s.t.Fatal(err)
	}
	list, entries := s.drawList(true)
	s.config.next.Store(&gateway.ActiveConfig{List: list, Settings: conf.Settings})
	changed := ""
	if wireText != s.settings { // the loop passes settings to its scheduler only when they change
		changed = "AGREED|3|" + wireText + "\n"
		s.settings = wireText
	}
	s.loop.Wake()
	for s.config.next.Load() != nil {
		s.loop.Stats() // makes the loop take a turn
	}
	s.writeBatch("%sBACKENDS_CHANGED|3|replace|2|%d%s", changed, len(list.Nodes), entries)
}

// allocate allocates slow-start units for a random node, for the node's listed start or for another one.
func (s *scenario) allocate() {
	addr := nodeAddr(rapid.IntRange(0, 4).Draw(s.t, "node"))
	startedAt := rapid.SampledFrom([]scheduler.Time{s.startedAt[addr], s.clock.Now()}).Draw(s.t, "start")
	units := float64(rapid.IntRange(0, 20).Draw(s.t, "units"))
	expiresAt := s.clock.Now() + 1e6*scheduler.Time(rapid.IntRange(0, 400).Draw(s.t, "expiry"))
	s.loop.AllocateSlowStart(addr, startedAt, units, expiresAt)
	s.writeBatch("LENT|3|%s|%s|%v|%s", addr, wireTime(startedAt), units, wireTime(expiresAt))
}

// advance lets a random time pass, but not beyond the next deadline of a request with an attempt in flight. At a
// deadline, the attempts of the request time out: the simulator reports this as events, the loop detects it itself.
func (s *scenario) advance() {
	s.collectResults()
	now := s.clock.Now() + 1e3*scheduler.Time(rapid.IntRange(1, 200_000).Draw(s.t, "microseconds"))
	for _, a := range s.nodes.inFlight() {
		now = min(now, s.requests[a.call.RequestID].deadline)
	}
	s.clock.now.Store(now)
	lines := []string{}
	for _, a := range s.nodes.inFlight() {
		r := s.requests[a.call.RequestID]
		if r.deadline != now {
			continue
		}
		final := 0
		if r.finished {
			final = 1
		}
		lines = append(lines, fmt.Sprintf("ANSWER|3|%s|%d|%s|3|%s|%d|-|-|-", a.call.RequestID, a.call.Attempt, a.addr,
			wireTime(now-a.sentAt), final))
		a.ended = true
	}
	slices.Sort(lines) // the loop also handles timeouts at the same time in the order of request IDs
	s.writeBatch("%s", strings.Join(lines, "\n"))
}
