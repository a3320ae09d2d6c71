package serve

import (
	"errors"
	"time"

	"irispost/internal/admin"
	"irispost/internal/endpoint/membership"
)

// errStopping is returned to clients of the admin socket, which print its text, once the loop has ended.
var errStopping = errors.New("the gateway ends")

// Status reports the gateway's requests, endpoints, configuration version and capture to the admin socket.
func (g *Gateway) Status() (admin.Status, error) {
	stats, running := g.Loop.Stats()
	if !running {
		return admin.Status{}, errStopping
	}
	status := admin.Status{
		Gateway:          g.Config.Name,
		Address:          g.Frontend.Addr(),
		Since:            g.startedAt,
		Requests:         stats.InFlight,
		AttemptsInFlight: stats.Attempts,
		LateAnswers:      stats.LateReplies,
		RequestClasses:   map[string]admin.RequestCounts{},
		Nodes:            map[string]int{},
	}
	for name, counts := range stats.Classes {
		status.RequestClasses[name] = admin.RequestCounts(*counts)
	}
	if g.fleetClient != nil {
		state, version := g.fleetClient.Status()
		status.Version = state + " on " + version
	}
	g.capture.mu.Lock()
	status.Capture = g.capture.refresh()
	g.capture.mu.Unlock()
	report, err := g.Members()
	if err != nil {
		return admin.Status{}, err
	}
	status.HeldLoss = report.HeldLoss
	for _, endpoint := range report.Nodes {
		status.Nodes[endpoint.State]++
	}
	return status, nil
}

// Members reports the endpoints and their sources to the admin socket.
func (g *Gateway) Members() (admin.EndpointReport, error) {
	stats, running := g.Loop.Stats()
	report := admin.EndpointReport{Gateway: g.Config.Name, Sources: []admin.Source{}, Nodes: []admin.Endpoint{}}
	running = running && g.endpoints.View(func(_, scheduledAt int64, tracker *membership.Tracker) {
		report.SchedulerUpdatedAt = wallTime(scheduledAt)
		if since, count, leavesNone, held := tracker.HoldDown(); held {
			report.HeldLoss = &admin.HeldLoss{Since: wallTime(since), Nodes: count, LeavesNoNodes: leavesNone}
		}
		for _, source := range tracker.Sources() {
			report.Sources = append(report.Sources, sourceReport(source))
		}
		for _, member := range tracker.Members() {
			report.Nodes = append(report.Nodes, endpointReport(member, stats.AttemptsByNode[member.Addr]))
		}
	})
	if !running {
		return admin.EndpointReport{}, errStopping
	}
	return report, nil
}

func sourceReport(source *membership.Source) admin.Source {
	return admin.Source{
		Name:            source.Name,
		State:           source.State.String(),
		Since:           wallTime(source.Since),
		LastError:       source.LinkError,
		Version:         source.Version(),
		ReceivedAt:      wallTime(source.UpdatedAt()),
		Nodes:           source.NodeCount(),
		HeldVersion:     source.HeldVersion(),
		RejectedUpdates: source.Rejections,
		LastRejection:   source.RejectReason,
		LastRejectionAt: wallTime(source.RejectedAt),
	}
}

func endpointReport(member *membership.Member, attemptsInFlight int) admin.Endpoint {
	reported := member.Reported()
	return admin.Endpoint{
		Addr:             member.Addr,
		Name:             reported.Name,
		Shard:            member.Shard(),
		Zone:             reported.Zone,
		State:            member.State.String(),
		Since:            wallTime(member.Since),
		Reason:           member.Reason,
		Source:           member.Source.Name,
		Weight:           reported.Weight,
		AttemptsInFlight: attemptsInFlight,
	}
}

// wallTime converts a time in nanoseconds since the Unix epoch. 0 means never and gives the zero time.
func wallTime(t membership.Time) time.Time {
	if t == 0 {
		return time.Time{}
	}
	return time.Unix(0, t)
}

// Confirm applies the loss of endpoints and the lists that are held until an operator confirms them.
func (g *Gateway) Confirm() (admin.Confirmation, error) {
	nodes, lists, running := g.endpoints.Confirm()
	if !running {
		return admin.Confirmation{}, errStopping
	}
	return admin.Confirmation{Nodes: nodes, Lists: lists}, nil
}
