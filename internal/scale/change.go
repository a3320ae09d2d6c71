package scale

import (
	"errors"
	"fmt"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// Change is a configuration change that was proposed and that the replicas have announced.
type Change struct {
	Version    uint64
	ProposedAt int64 // nanoseconds of the machine's monotonic clock
}

// gatewayFilter selects gateways, such as those that a check excludes.
type gatewayFilter func(*Gateway) bool

// noGateway selects no gateway.
func noGateway(*Gateway) bool { return false }

// onlyGateway returns a filter that selects a single gateway.
func onlyGateway(gateway *Gateway) gatewayFilter {
	return func(other *Gateway) bool { return other == gateway }
}

// propose proposes a change to the newest configuration as the operator and waits until it is announced.
func (f *Fleet) propose(reason string, change func(*configversion.Config)) (Change, error) {
	return f.proposeBy(f.operator, reason, change)
}

// proposeBy proposes a change with the given client. With the operator's client, failed proposals are retried until
// the timeout, unless a replica rejects them.
func (f *Fleet) proposeBy(client *replica.Client, reason string, change func(*configversion.Config)) (Change, error) {
	config := cloneConfig(f.config)
	change(config)
	proposed := Change{ProposedAt: monotonic()}
	proposal := &lease.Proposal{
		ID:        fmt.Sprintf("scale %d %d", proposed.ProposedAt, f.newestVersion+1),
		Parent:    f.newestVersion,
		Author:    "scale",
		Reason:    reason,
		CreatedAt: time.Now().UTC().Format(time.RFC3339),
		Content:   config.Canonical(),
	}
	version, err := client.Propose(proposal)
	for end := time.Now().Add(f.Size.Timeout); err != nil && client == f.operator && time.Now().Before(end); {
		if isRejected(err) {
			break
		}
		f.options.Progress("retrying the proposal of %s: %v", reason, err)
		version, err = client.Propose(proposal)
	}
	if err != nil {
		return proposed, fmt.Errorf("%s: %w", reason, err)
	}
	proposed.Version = version.Number
	f.newestVersion = version.Number
	f.config = config
	f.unauditedVersions = append(f.unauditedVersions, &configversion.Version{
		Number: version.Number, Parent: version.Parent, Digest: config.Digest(), Content: config.Canonical(),
	})
	return proposed, nil
}

// awaitVersion waits until all gateways but the excluded ones act on a version alone, and describes those that still
// do not at the timeout.
func (f *Fleet) awaitVersion(version uint64, excluded gatewayFilter) []string {
	return f.awaitNone(func() []string {
		actingOn := map[string]string{}
		for _, gateway := range f.Gateways {
			if !excluded(gateway) {
				actingOn[gateway.Name] = gateway.actingOn()
			}
		}
		return laggards(actingOn, version)
	})
}

// awaitNone repeats a check until it finds no violations, and returns those that it still finds at the timeout.
func (f *Fleet) awaitNone(check func() []string) []string {
	for end := time.Now().Add(f.Size.Timeout); ; time.Sleep(pollInterval) {
		violations := check()
		if len(violations) == 0 || time.Now().After(end) {
			return violations
		}
	}
}

// activationDelays returns how long each gateway but the excluded ones took to act on a change alone, in milliseconds
// from the proposal. Gateways that do not act on it alone yet are left out.
func (f *Fleet) activationDelays(change Change, excluded gatewayFilter) (delays []float64) {
	for _, gateway := range f.Gateways {
		updates, _ := gateway.observed()
		if at, ok := actingSince(updates, change.Version); ok && !excluded(gateway) {
			delays = append(delays, milliseconds(at-change.ProposedAt))
		}
	}
	return delays
}

// milliseconds converts nanoseconds to milliseconds.
func milliseconds(nanoseconds int64) float64 { return float64(nanoseconds) / 1e6 }

// discardUpdates discards the recorded updates of all gateways, except for the last one of each.
func (f *Fleet) discardUpdates() {
	for _, gateway := range f.Gateways {
		gateway.lock.Lock()
		if gateway.recorder != nil {
			gateway.recorder.discard()
		}
		gateway.lock.Unlock()
	}
}

// isRejected reports whether the replicas rejected a proposal, so that a retry would fail too.
func isRejected(err error) bool {
	var rejected *replica.RejectedError
	return errors.As(err, &rejected)
}
