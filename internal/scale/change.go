package scale

import (
	"errors"
	"fmt"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// Change is a configuration change that was proposed and is announced.
type Change struct {
	Version    uint64
	ProposedAt int64 // when it was proposed, in nanoseconds of the machine's monotonic clock
}

// gatewayFilter tells whether a gateway is meant, as one that is excluded from a check.
type gatewayFilter func(*Gateway) bool

// noGateway excludes none.
func noGateway(*Gateway) bool { return false }

// onlyGateway returns the filter for a single gateway.
func onlyGateway(gateway *Gateway) gatewayFilter {
	return func(other *Gateway) bool { return other == gateway }
}

// propose makes a change to the newest configuration and waits until it is announced.
func (f *Fleet) propose(reason string, change func(*configversion.Config)) (Change, error) {
	return f.proposeBy(f.operator, reason, change)
}

// proposeBy proposes by a given client. The operator's own is retried until the timeout, unless the proposal is
// rejected.
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
		f.options.Progress("%s is proposed again: %v", reason, err)
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

// awaitVersion waits until all gateways but the excluded act on a version alone, and names those that do not at the
// timeout.
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

// awaitNone waits until a check finds no violations, and returns those that it still finds at the timeout.
func (f *Fleet) awaitNone(check func() []string) []string {
	for end := time.Now().Add(f.Size.Timeout); ; time.Sleep(pollInterval) {
		violations := check()
		if len(violations) == 0 || time.Now().After(end) {
			return violations
		}
	}
}

// activationDelays returns how long each gateway but the excluded took to act on a change alone, in milliseconds from
// its proposal.
func (f *Fleet) activationDelays(change Change, excluded gatewayFilter) (delays []float64) {
	for _, gateway := range f.Gateways {
		updates, _ := gateway.observed()
		if at, ok := actingSince(updates, change.Version); ok && !excluded(gateway) {
			delays = append(delays, milliseconds(at-change.ProposedAt))
		}
	}
	return delays
}

// milliseconds converts nanoseconds.
func milliseconds(nanoseconds int64) float64 { return float64(nanoseconds) / 1e6 }

// discardUpdates discards the updates that all gateways' recorders hold, but the last of each.
func (f *Fleet) discardUpdates() {
	for _, gateway := range f.Gateways {
		gateway.lock.Lock()
		if gateway.recorder != nil {
			gateway.recorder.discard()
		}
		gateway.lock.Unlock()
	}
}

// isRejected tells whether replicas answered a proposal with a rejection, after which a retry is in vain.
func isRejected(err error) bool {
	var rejected *replica.RejectedError
	return errors.As(err, &rejected)
}
