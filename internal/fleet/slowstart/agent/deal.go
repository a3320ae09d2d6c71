package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

// desk is where one node's budget is dealt out.
type desk struct {
	dealer *budget.Allocator
	born   scheduler.Time
	wait   map[string]chan budget.Allocation // who asked, until there is something or their time is over
}

var (
	errNotMine = errors.New("this node's budget is not this gateway's to deal out")
	errRate    = errors.New("nobody knows yet what nodes can do")
	errStart   = errors.New("another start of the node is known here")
)

// serve answers another gateway.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(q); err != nil {
		http.Error(w, "bad request: "+err.Error(), http.StatusBadRequest)
		return
	}
	loan, err := a.deal(r.Context(), q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(loan)
}

// deal takes an ask in, and waits for a while until something is lent; a loan of nothing says that the dealer is there.
func (a *Agent) deal(ctx context.Context, q *request) (*budget.Allocation, error) {
	answer := make(chan budget.Allocation, 1)
	a.lock.Lock()
	k, err := a.desk(q)
	if err == nil && !k.dealer.HandleRequest(a.opt.Now(), &q.Request) {
		err = errors.New("an older ask, or none that can be")
	}
	if err != nil {
		a.lock.Unlock()
		return nil, err
	}
	k.wait[q.Holder] = answer
	a.lend(k)
	a.lock.Unlock()
	hold := time.NewTimer(time.Duration(a.each) / holdParts)
	defer hold.Stop()
	select {
	case l := <-answer:
		return &l, nil
	case <-hold.C:
	case <-ctx.Done():
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	if k.wait[q.Holder] == answer {
		delete(k.wait, q.Holder)
		k.dealer.CancelRequest(q.Holder)
	}
	select {
	case l := <-answer: // it came at this moment
		return &l, nil
	default:
		return &budget.Allocation{Holder: q.Holder, Seq: q.Seq}, nil
	}
}

// desk finds or opens the desk of a node whose budget is this gateway's; the lock is held.
func (a *Agent) desk(q *request) (*desk, error) {
	now := a.opt.Now()
	k := a.desks[q.Node]
	if !a.tenure.Owns(now, q.Node) {
		delete(a.desks, q.Node)
		return nil, errNotMine
	}
	born, rate := a.seen[q.Node].StartedAt, a.rate
	if rate <= 0 {
		rate = q.Rate
	}
	switch {
	case q.Born < born:
		return nil, errStart
	case rate <= 0:
		return nil, errRate
	case k == nil:
		k = &desk{born: q.Born, dealer: budget.NewAllocator(now, a.opt.Settings, now-q.Born, rate, 0), wait: map[string]chan budget.Allocation{}}
		a.desks[q.Node] = k
		a.opt.Logger.Info("cold node: its budget is dealt out here", "gateway", a.opt.Gateway, "node", q.Node, "age_ms", (now-q.Born)/scheduler.Millisecond, "rate", rate)
	case q.Born > k.born:
		k.born = q.Born
		k.dealer.NodeRestarted(now, now-q.Born)
	case q.Born < k.born:
		return nil, errStart
	}
	k.dealer.SetRate(now, rate)
	return k, nil
}

// lend deals out what is ready to those who wait; the lock is held.
func (a *Agent) lend(k *desk) {
	for _, l := range k.dealer.Allocate(a.opt.Now()) {
		if to := k.wait[l.Holder]; to != nil {
			to <- l
			delete(k.wait, l.Holder)
		}
	}
}

// tend deals again at all desks, and closes those whose node is warm or not this gateway's any more; the lock is held.
func (a *Agent) tend() {
	now := a.opt.Now()
	for node, k := range a.desks {
		if !a.tenure.Owns(now, node) || k.dealer.WarmedUp(now) {
			delete(a.desks, node) // who waits is told that nothing is lent
			continue
		}
		k.dealer.RemoveIdle(now, a.opt.Settings.WarmupTime)
		a.lend(k)
	}
}
