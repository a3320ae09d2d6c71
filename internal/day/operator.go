package day

import (
	"context"
	"errors"
	"fmt"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// client speaks to the keepers as an operator: no link is between, as the operators' machine is not part of the day's faults.
func (f *fleet) client(within time.Duration) *replica.Client {
	c := &replica.Client{Timeout: within}
	for name, addr := range f.addrs {
		if name[0] == 'k' {
			c.Replicas = append(c.Replicas, addr)
		}
	}
	return c
}

// want has the list as it is now, with the limits in force, be proposed. One that was not proposed yet is out of date.
func (f *fleet) want(l endpoint.List) {
	r := configversion.Intersect(f.base, f.base)
	for _, n := range l.Nodes {
		r.Nodes[n.Addr] = configversion.Node{Name: n.Name, Zone: n.Zone, Shard: n.Shard, StartedAt: n.StartedAt, Health: n.Health, Weight: n.Weight}
	}
	f.lock.Lock()
	for name, limit := range f.limits {
		p := r.ServiceLevels[name]
		p.RateLimit = limit
		r.ServiceLevels[name] = p
	}
	f.wanted, f.listed = r, l
	f.lock.Unlock()
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// operator proposes what is wanted, until it is in the log.
func (f *fleet) operator(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.news:
		}
		for ctx.Err() == nil {
			f.lock.Lock()
			r, l := f.wanted, f.listed
			f.lock.Unlock()
			if f.propose(ctx, r, "day", 0) {
				f.town.announce(l)
				break
			}
		}
	}
}

// propose proposes rules against the newest version; false: they are not in the log.
func (f *fleet) propose(ctx context.Context, r *configversion.Config, author string, parent uint64) bool {
	c := f.client(5 * time.Second)
	if parent == 0 {
		s, err := c.Status()
		if err != nil {
			return false
		}
		parent = s.Announced
	}
	f.lock.Lock()
	f.count++
	id := fmt.Sprint("day ", f.count)
	f.lock.Unlock()
	for ctx.Err() == nil {
		v, err := c.Propose(&lease.Proposal{ID: id, Parent: parent, ReplacePending: true, Author: author, Reason: "the day's script", Content: r.Canonical()})
		var refused *replica.RejectedError
		f.lock.Lock()
		if err == nil {
			f.changes++
		} else if errors.As(err, &refused) {
			f.refused++
		}
		f.lock.Unlock()
		if err == nil {
			f.town.opt.Logf("version %s is announced", v.Name())
			return true
		}
		if errors.As(err, &refused) {
			f.town.opt.Logf("a proposal is refused: %v", err)
			return false
		}
	}
	return false
}

// change makes a change of the script.
func (f *fleet) change(c ChangePlan, round int) {
	f.lock.Lock()
	f.limits[c.ServiceLevel] = c.RateLimit + float64(round)
	f.lock.Unlock()
	if c.Proposers < 2 {
		_ = f.town.list() // it fails where it writes a file, which a day with keepers does not
		return
	}
	s, err := f.client(5 * time.Second).Status()
	if err != nil || s.Latest == nil {
		return
	}
	r, err := s.Latest.Config()
	if err != nil {
		return
	}
	for i := range c.Proposers {
		own := configversion.Intersect(r, r)
		p := own.ServiceLevels[c.ServiceLevel]
		p.RateLimit = c.RateLimit + float64(i)
		own.ServiceLevels[c.ServiceLevel] = p
		f.done.Add(1)
		go func() {
			defer f.done.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			f.propose(ctx, own, fmt.Sprintf("operator %d", i+1), s.Announced)
		}()
	}
}
