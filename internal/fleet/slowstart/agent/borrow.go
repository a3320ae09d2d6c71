package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

// debtState is how a gateway stands with a node's dealer. Only debt.move changes it.
type debtState uint8

const (
	alone    debtState = iota // nothing is known of a dealer: the module goes by its own ways
	asking                    // the first ask, or one after others failed, is out; the module goes by its own ways
	dealt                     // what the dealer lends is what goes there
	renewing                  // likewise, and an ask is out
)

// debt is what one node's dealer has lent this gateway.
type debt struct {
	state debtState
	born  scheduler.Time
	seq   uint64
	rest  scheduler.Time // after an ask that failed; it doubles
	next  scheduler.Time // no ask before
	ends  scheduler.Time // of the last loan; nothing at all goes there after it until then
	sure  scheduler.Time // until then it is taken that the dealer is there
}

// debtOf is a node to which nothing is to go until a time.
type debtOf struct {
	node       string
	born, till scheduler.Time
}

func (d *debt) move(to debtState) { d.state = to }

// borrow is the duty that looks for work at cold nodes and borrows for it.
func (a *Agent) borrow(ctx context.Context) {
	tick := time.NewTicker(time.Duration(a.each) / paceParts)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w, ok := a.loop.SlowStartDemand()
		if !ok {
			return
		}
		a.lock.Lock()
		a.rate = w.Rate
		clear(a.seen)
		for _, want := range w.Demands {
			a.seen[want.Addr] = want
			a.consider(ctx, want)
		}
		for node := range a.debts {
			if _, there := a.seen[node]; !there { // warm, or gone
				delete(a.debts, node)
			}
		}
		a.tend()
		empty := a.empty
		a.empty = nil
		a.lock.Unlock()
		for _, e := range empty { // no ask is out for these
			a.loop.Allocate(e.node, e.born, 0, e.till)
		}
	}
}

// consider asks a node's dealer, if it is time to; the lock is held.
func (a *Agent) consider(ctx context.Context, w scheduler.SlowStartDemand) {
	now := a.opt.Now()
	d := a.debts[w.Addr]
	if d == nil || d.born != w.StartedAt {
		seq := uint64(now) // over all that it asked before of this node
		d = &debt{born: w.StartedAt, seq: seq}
		a.debts[w.Addr] = d
	}
	if w.Units <= 0 && now < d.sure {
		if d.state == dealt && now >= d.ends { // nothing is lent, and the dealer is there: what comes waits for a loan
			d.ends = now + a.each
			a.empty = append(a.empty, debtOf{w.Addr, w.StartedAt, d.ends})
		}
		return
	}
	owner := a.tenure.Owner(w.Addr)
	addr := a.peers[owner]
	if d.state == asking || d.state == renewing || now < d.next || owner == "" || addr == "" && owner != a.opt.Holder {
		return
	}
	select {
	case a.free <- struct{}{}:
	default:
		return // at the next look
	}
	if d.state == dealt {
		d.move(renewing)
	} else {
		d.move(asking)
	}
	d.seq++
	if via := a.opt.AddrOverrides[addr]; via != "" {
		addr = via
	}
	if w.Units <= 0 { // it only asks whether there is a dealer
		w.SmallestRequest = 0
	}
	ask := &request{Node: w.Addr, Born: w.StartedAt, Rate: a.rate, Request: budget.Request{Holder: a.opt.Holder, Seq: d.seq, Demand: w.Units, SmallestRequest: w.SmallestRequest, PriorityWeight: w.PriorityWeight}}
	a.done.Add(1)
	go func() {
		defer a.done.Done()
		a.ask(ctx, d, owner, addr, ask)
		<-a.free
	}()
}

// ask asks once, and tells the module what came of it.
func (a *Agent) ask(ctx context.Context, d *debt, owner, addr string, q *request) {
	began := a.opt.Now()
	till := began + a.each
	a.lock.Lock()
	held := d.state == renewing
	a.lock.Unlock()
	if held { // what is left goes back with the ask, and nothing is sent there until the answer
		q.Returned, _ = a.loop.Allocate(q.Node, q.Born, 0, till)
	}
	var loan *budget.Allocation
	var err error
	if owner == a.opt.Holder {
		loan, err = a.deal(ctx, q)
	} else {
		loan, err = a.post(ctx, addr, q)
	}
	now := a.opt.Now()
	if err == nil && (loan.Seq != q.Seq || now >= till) {
		err = errors.New("an answer out of time")
	}
	if err == nil {
		a.loop.Allocate(q.Node, q.Born, loan.Units, till)
	} else if held {
		a.loop.Allocate(q.Node, q.Born, 0, 0) // back to the module's own ways
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	if err != nil {
		if held {
			a.opt.Logger.Info("cold node: no dealer is reached", "gateway", a.opt.Gateway, "node", q.Node, "why", err)
		}
		d.move(alone)
		d.rest = min(max(2*d.rest, a.each/2), restMost*a.each)
		d.next = now + d.rest/2 + scheduler.Time(q.Seq%uint64(d.rest/2)) // spread
		return
	}
	d.rest, d.ends, d.sure = 0, till, now+sureFor*a.each
	d.move(dealt)
}

// request is an ask with the node that it is for.
type request struct {
	Node string         `json:"node"`
	Born scheduler.Time `json:"born"`
	Rate float64        `json:"rate"` // of warm nodes, as its gateway knows it
	budget.Request
}

// post asks another gateway.
func (a *Agent) post(ctx context.Context, addr string, q *request) (*budget.Allocation, error) {
	b, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/cold/ask", bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	r, err := a.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	if err != nil {
		return nil, err
	}
	if r.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", r.Status, bytes.TrimSpace(text))
	}
	l := &budget.Allocation{}
	return l, json.Unmarshal(text, l)
}
