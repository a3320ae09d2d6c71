package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// peer is the way to another keeper. What cannot be sent is dropped: Raft says it again.
type peer struct {
	keeper *Replica
	id     uint64
	url    string
	queue  chan *raftpb.Message
	client *http.Client
	form   atomic.Int64 // that it said last
}

func newPeer(k *Replica, id uint64, addr string) *peer {
	within := 6 * k.opt.TickInterval // under an election's time, so that one lost connection costs no leader
	return &peer{keeper: k, id: id, url: "http://" + addr, queue: make(chan *raftpb.Message, 256), client: &http.Client{Timeout: within,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: within}).DialContext, MaxIdleConnsPerHost: 2}}}
}

func (p *peer) send(m *raftpb.Message) {
	select {
	case p.queue <- m:
	default:
	}
}

// run sends what is queued, all at a time.
func (p *peer) run(ctx context.Context) {
	for {
		var list []*raftpb.Message
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			list = append(list, m)
		}
		for n := len(p.queue); n > 0; n-- {
			list = append(list, <-p.queue)
		}
		err := p.post(ctx, "/raft", list)
		for _, m := range list {
			if m.GetType() == raftpb.MsgSnap {
				status := raft.SnapshotFinish
				if err != nil {
					status = raft.SnapshotFailure
				}
				p.keeper.do(ctx, func() { p.keeper.node.ReportSnapshot(p.id, status) })
			}
		}
		if err != nil {
			p.keeper.do(ctx, func() { p.keeper.node.ReportUnreachable(p.id) })
			p.client.CloseIdleConnections() // a connection that hangs is not used again
		}
	}
}

func (p *peer) post(ctx context.Context, path string, list []*raftpb.Message) error {
	b, err := frames(list)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	r, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	io.Copy(io.Discard, r.Body)
	p.heard(ctx, r)
	if r.StatusCode != http.StatusNoContent {
		return errors.New(r.Status)
	}
	return nil
}

// greeting is a start of a keeper, as it tells the others.
type greeting struct {
	From        uint64 `json:"from"`
	Starts      uint64 `json:"starts"`
	Incarnation uint64 `json:"incarnation,omitempty"` // this start's mark
	Form        int    `json:"form,omitempty"`        // of entries that it reads; 0: the first
}

// hello tells the other keeper of this start. ErrOlder: it knows a later one.
func (p *peer) hello(ctx context.Context, g greeting) error {
	b, err := json.Marshal(g)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+"/hello", bytes.NewReader(b))
	if err != nil {
		return err
	}
	r, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	io.Copy(io.Discard, r.Body)
	p.heard(ctx, r)
	switch r.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return fmt.Errorf("keeper %d: %w", p.id, ErrStaleIncarnation)
	}
	return errors.New(r.Status)
}

// patience is how long an operator's or a gateway's request may wait in a keeper.
const patience = 5 * time.Second
