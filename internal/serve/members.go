package serve

import (
	"errors"
	"time"

	"irispost/internal/admin"
	"irispost/internal/endpoint/membership"
)

var errEnds = errors.New("the gateway ends")

// Members tells of the nodes, and where they come from.
func (g *Gateway) Members() (admin.EndpointReport, error) {
	f, running := g.Loop.Stats()
	m := admin.EndpointReport{Gateway: g.Config.Name, Sources: []admin.Source{}, Nodes: []admin.Endpoint{}}
	at := func(t membership.Time) time.Time {
		if t == 0 {
			return time.Time{}
		}
		return time.Unix(0, t)
	}
	running = running && g.roster.View(func(_, told int64, fleet *membership.Tracker) {
		m.ScheduledAt = at(told)
		if since, count, all, held := fleet.HoldDown(); held {
			m.HeldLoss = &admin.HeldLoss{Since: at(since), Nodes: count, LeavesNone: all}
		}
		for _, s := range fleet.Sources() {
			m.Sources = append(m.Sources, admin.Source{Name: s.Name, State: s.State.String(), Since: at(s.Since), LastError: s.LinkError,
				Version: s.Version(), ReceivedAt: at(s.UpdatedAt()), Nodes: s.NodeCount(), HeldVersion: s.HeldVersion(), RejectedUpdates: s.Rejections, LastRejection: s.RejectReason,
				LastRejectionAt: at(s.RejectedAt)})
		}
		for _, n := range fleet.Members() {
			m.Nodes = append(m.Nodes, admin.Endpoint{Addr: n.Addr, Name: n.Reported().Name, Shard: n.Shard(), Zone: n.Reported().Zone,
				State: n.State.String(), Since: at(n.Since), Reason: n.Reason, Source: n.Source.Name, Weight: n.Reported().Weight, AttemptsInFlight: f.AttemptsByNode[n.Addr]})
		}
	})
	if !running {
		return admin.EndpointReport{}, errEnds
	}
	return m, nil
}

// Confirm takes what is held at its word.
func (g *Gateway) Confirm() (admin.Confirmation, error) {
	nodes, lists, running := g.roster.Confirm()
	if !running {
		return admin.Confirmation{}, errEnds
	}
	return admin.Confirmation{Nodes: nodes, Lists: lists}, nil
}
