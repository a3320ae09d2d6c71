package day

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

const (
	operatorTimeout = 5 * time.Second
	proposerTimeout = 10 * time.Second
	operatorName    = "day"
	proposalReason  = "the day's script"
)

// operatorClient returns a client that an operator uses to reach the replicas. It connects to them directly and not
// through links, as the scenario has no faults on the network of the operators.
func (r *replicaSet) operatorClient(timeout time.Duration) *replica.Client {
	client := &replica.Client{Timeout: timeout}
	for name, address := range r.addresses {
		if strings.HasPrefix(name, replicaPrefix) {
			client.Replicas = append(client.Replicas, address)
		}
	}
	return client
}

// proposeList makes the operator propose an endpoint list, with the rate limits that the changes so far have set. It
// replaces a list that is still to be proposed, which is out of date.
func (r *replicaSet) proposeList(list endpoint.List) {
	proposed := configversion.Intersect(r.baseConfig, r.baseConfig) // a copy
	for _, node := range list.Nodes {
		proposed.Nodes[node.Addr] = configversion.Node{
			Name:      node.Name,
			Zone:      node.Zone,
			Shard:     node.Shard,
			StartedAt: node.StartedAt,
			Health:    node.Health,
			Weight:    node.Weight,
		}
	}
	r.lock.Lock()
	for name, limit := range r.rateLimits {
		setRateLimit(proposed, name, limit)
	}
	r.pending = proposed
	r.pendingList = list
	r.lock.Unlock()
	select {
	case r.pendingChanged <- struct{}{}:
	default: // a signal is already pending
	}
}

func setRateLimit(proposed *configversion.Config, serviceLevel string, limit float64) {
	level := proposed.ServiceLevels[serviceLevel]
	level.RateLimit = limit
	proposed.ServiceLevels[serviceLevel] = level
}

// runOperator proposes each pending configuration, and retries with the newest one until it is in the log.
func (r *replicaSet) runOperator(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pendingChanged:
		}
		for ctx.Err() == nil {
			r.lock.Lock()
			pending, list := r.pending, r.pendingList
			r.lock.Unlock()
			if r.proposeOnLatest(ctx, pending) {
				r.testbed.recordListed(list)
				break
			}
		}
	}
}

// proposeOnLatest proposes a configuration with the latest version as its parent. It reports whether the proposal is
// in the log.
func (r *replicaSet) proposeOnLatest(ctx context.Context, proposed *configversion.Config) bool {
	status, err := r.operatorClient(operatorTimeout).Status()
	if err != nil {
		return false
	}
	return r.propose(ctx, proposed, operatorName, status.Announced)
}

// propose proposes a configuration with the given version as its parent, and retries until the proposal is in the log
// or rejected. It reports whether it is in the log.
func (r *replicaSet) propose(ctx context.Context, proposed *configversion.Config, author string, parent uint64) bool {
	client := r.operatorClient(operatorTimeout)
	proposal := &lease.Proposal{
		ID:             r.nextProposalID(),
		Parent:         parent,
		ReplacePending: true,
		Author:         author,
		Reason:         proposalReason,
		Content:        proposed.Canonical(),
	}
	for ctx.Err() == nil {
		version, err := client.Propose(proposal)
		if err == nil {
			r.increment(&r.announcedCount)
			r.testbed.options.Logf("version %s was announced", version.Name())
			return true
		}
		var rejected *replica.RejectedError
		if errors.As(err, &rejected) {
			r.increment(&r.rejectedCount)
			r.testbed.options.Logf("a proposal was rejected: %v", err)
			return false
		}
	}
	return false
}

func (r *replicaSet) nextProposalID() string {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.proposalCount++
	return fmt.Sprint("day ", r.proposalCount)
}

func (r *replicaSet) increment(counter *int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	*counter++
}

// applyChange applies a change of the script; each repetition raises the limit by 1. With two or more proposers, it
// starts that many concurrent proposals, each with another limit.
func (r *replicaSet) applyChange(change ChangePlan, repetition int) {
	r.lock.Lock()
	r.rateLimits[change.ServiceLevel] = change.RateLimit + float64(repetition)
	r.lock.Unlock()
	if change.Proposers < 2 {
		_ = r.testbed.publishList() // fails only when it writes a file, which it does not with replicas
		return
	}
	status, err := r.operatorClient(operatorTimeout).Status()
	if err != nil || status.Latest == nil {
		return
	}
	latest, err := status.Latest.Config()
	if err != nil {
		return
	}
	for i := range change.Proposers {
		proposed := configversion.Intersect(latest, latest) // a copy
		setRateLimit(proposed, change.ServiceLevel, change.RateLimit+float64(i))
		author := fmt.Sprintf("operator %d", i+1)
		r.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), proposerTimeout)
			defer cancel()
			r.propose(ctx, proposed, author, status.Announced)
		})
	}
}
