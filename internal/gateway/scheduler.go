package gateway

import (
	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// tappedScheduler forwards calls to the scheduler and reports them to a tap. Everything that can affect the
// scheduler's decisions passes through it: the scheduler gets no clock and no random source, and depends only on the
// arguments and the order of these calls. The tap sees each call before the scheduler does, and each decision after
// it is made.
type tappedScheduler struct {
	inner *scheduler.Scheduler
	tap   Tap // nil: none
}

func (s *tappedScheduler) start(now scheduler.Time, seed uint64, settings scheduler.Settings) {
	if s.tap != nil {
		s.tap.Start(now, seed, settings)
	}
	s.inner = scheduler.New(now, seed, settings)
}

func (s *tappedScheduler) setTap(now scheduler.Time, t Tap) {
	s.tap = t
	if t != nil {
		t.Snapshot(now, s.inner)
	}
}

func (s *tappedScheduler) updateEndpoints(now scheduler.Time, list endpoint.List) {
	switch {
	case s.tap == nil:
	case list.Partial:
		s.tap.EndpointUpdate(now, list, false)
	default:
		s.tap.EndpointList(now, list)
	}
	ApplyEndpointList(s.inner, now, list, !list.Partial)
}

func (s *tappedScheduler) endpointListFailed(now scheduler.Time, unresponsive bool) {
	if s.tap != nil {
		s.tap.EndpointListFailed(now, unresponsive)
	}
	s.inner.EndpointListFailed(now, unresponsive)
}

func (s *tappedScheduler) applySettings(now scheduler.Time, settings scheduler.Settings) {
	if s.tap != nil {
		s.tap.SettingsChanged(now, settings)
	}
	s.inner.ApplySettings(now, settings)
}

func (s *tappedScheduler) allocateSlowStart(now scheduler.Time, addr string, startedAt scheduler.Time, units float64,
	expiresAt scheduler.Time) (remaining float64) {
	if s.tap != nil {
		s.tap.Allocated(now, addr, startedAt, units, expiresAt)
	}
	return s.inner.AllocateSlowStart(now, addr, startedAt, units, expiresAt)
}

func (s *tappedScheduler) submit(now scheduler.Time, r *scheduler.Request, spec *RequestSpec) {
	volume := spec.Volume
	if s.tap != nil {
		s.tap.Submitted(now, r, volume.ID, volume.ServiceLevel, spec.Class, volume.GatewayCount, spec.HasKey)
	}
	s.inner.Submit(now, r, volume.ID, volume.ServiceLevel, spec.Class, volume.GatewayCount, spec.HasKey)
}

func (s *tappedScheduler) attemptFinished(now scheduler.Time, a *scheduler.Attempt, outcome scheduler.Outcome,
	final bool, reply node.Reply) {
	took := now - a.SentAt
	if s.tap != nil {
		s.tap.AttemptEnded(now, a.Request.ID, a.Number, outcome, took, final, reply.UnitsElsewhere, reply.InFlight,
			int64(reply.Latency))
	}
	s.inner.AttemptFinished(now, a.Request.ID, a.Number, outcome, took, final, reply.UnitsElsewhere)
}

func (s *tappedScheduler) clientCancelled(now scheduler.Time, r *scheduler.Request) {
	if s.tap != nil {
		s.tap.ClientCancelled(now, r.ID)
	}
	s.inner.ClientCancelled(now, r.ID)
}

func (s *tappedScheduler) decide(now scheduler.Time) *scheduler.Decision {
	d := s.inner.Decide(now)
	if s.tap != nil {
		s.tap.Decided(now, d)
		if s.tap.NeedsSnapshot() {
			s.tap.Snapshot(now, s.inner)
		}
	}
	return d
}
