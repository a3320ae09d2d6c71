package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
)

// standing is the log's state as this keeper leads by it, until it changes: then changed is closed. Who does not lead has none.
type standing struct {
	term, inForce, announced uint64
	leads                    bool
	changed                  chan struct{}
}

// tell has those who wait for news know of what has changed.
func (k *Replica) tell() {
	now := standing{term: k.term, inForce: k.ledger.InForce, announced: k.ledger.Announced, leads: k.warden != nil && k.ledger.Settings.LeaseDuration > 0}
	was := k.stand.Load()
	if now.changed = was.changed; now == *was {
		return
	}
	now.changed = make(chan struct{})
	k.stand.Store(&now)
	close(was.changed)
}

// Options are what a keeper is started with.
type Options struct {
	ID                uint64
	Listen            string
	Peers             map[uint64]string // all keepers' addresses as this one reaches them, by number; its own is not used
	Joining           bool              // it does not found the fleet with them, and votes once they have taken it in
	Dir               string
	LeaseSettings     lease.Settings // for the founding; a fleet that is founded keeps its own
	TickInterval      time.Duration
	CompactionEntries uint64 // entries after which the log is compacted
	Logger            *slog.Logger
	form              int // newest of entries that it reads and writes; 0: the newest there is
}

// Replica is a running one.
type Replica struct {
	opt       Options
	log       *slog.Logger
	store     *store
	node      *raft.RawNode
	ledger    *lease.StateMachine
	applied   uint64
	conf      *raftpb.ConfState
	warden    *lease.Manager // nil: this one does not lead, or not for sure yet
	term      uint64         // of it
	leads     bool
	takesPart bool // it has introduced itself
	leader    uint64
	waiting   map[string]chan result // proposals, by their ID
	asks      []*call                // that no confirmation has been asked for yet
	sure      *batch                 // whose confirmation is out; nil: none
	readings  uint64
	gathered  time.Time // when the last batch began
	gather    *time.Timer
	calls     chan func()
	stand     atomic.Pointer[standing] // what those know who wait for news
	peers     map[uint64]*peer
	forms     map[uint64]int    // of entries that other keepers read, as they said; 0: not known
	addrs     map[uint64]string // of all keepers that ever were, by number
	voting    *votersCall       // a change of voters that is under way; nil: none that was asked for here
	ctx       context.Context
	http      *http.Server
	listener  net.Listener
	start     time.Time
	cancel    context.CancelFunc
	ended     chan struct{}
	err       error
	done      sync.WaitGroup
}

type result struct {
	version *configversion.Version
	err     error
}

// call is an ask of a gateway or an operator that is answered once it is sure that this keeper leads.
type call struct {
	then func(w *lease.Manager) // nil: this keeper does not lead
}

type batch struct {
	ctx   []byte
	at    time.Time
	index uint64 // 0: not confirmed yet
	calls []*call
}

// ErrNotLeader tells that another keeper leads, or none.
var ErrNotLeader = errors.New("this keeper does not lead")

// ErrStaleIncarnation tells that a keeper's folder is an older copy.
var ErrStaleIncarnation = errors.New("another keeper knows a later start of this one: its folder is an older copy, or two run under one number; " +
	"it would vote twice and is not started")

// Start starts a keeper. It takes part once enough others have heard of this start of it.
func Start(opt Options) (*Replica, error) {
	voters := slices.Sorted(maps.Keys(opt.Peers))
	if !slices.Contains(voters, opt.ID) || opt.ID == 0 {
		return nil, fmt.Errorf("keeper %d is not among %v", opt.ID, voters)
	}
	if opt.TickInterval == 0 {
		opt.TickInterval = 50 * time.Millisecond
	}
	if opt.CompactionEntries == 0 {
		opt.CompactionEntries = 1000
	}
	if opt.form == 0 {
		opt.form = lease.Format
	}
	founders := voters
	if opt.Joining {
		founders = nil
	}
	s, err := openStore(opt.Dir, opt.ID, founders)
	if err != nil {
		return nil, err
	}
	k := &Replica{opt: opt, log: opt.Logger.With("keeper", opt.ID), store: s, waiting: map[string]chan result{}, calls: make(chan func(), 1024),
		peers: map[uint64]*peer{}, forms: map[uint64]int{}, start: time.Now(), ended: make(chan struct{}), gather: time.NewTimer(0)}
	s.history.bad = func(what string, why error) {
		k.log.Warn("the history cannot be read here, the rest is", "what", what, "why", why)
	}
	k.stand.Store(&standing{changed: make(chan struct{})})
	snap, err := s.memory.Snapshot()
	if err == nil {
		k.applied, k.conf = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
		k.ledger = lease.NewStateMachine()
		if !raft.IsEmptySnap(snap) {
			if k.ledger, err = lease.Restore(snap.GetData()); err != nil {
				err = fmt.Errorf("%s: snapshot: %w", filepath.Join(opt.Dir, "keeper.db"), err)
			}
		}
	}
	if err != nil {
		s.db.Close()
		return nil, err
	}
	if k.listener, err = net.Listen("tcp", opt.Listen); err != nil {
		s.db.Close()
		return nil, err
	}
	k.node, err = raft.NewRawNode(&raft.Config{ID: opt.ID, ElectionTick: 10, HeartbeatTick: 2, Storage: s.memory, Applied: k.applied,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxInflightBytes: 8 << 20, MaxUncommittedEntriesSize: 64 << 20, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
		DisableProposalForwarding: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	if err != nil {
		k.listener.Close()
		s.db.Close()
		return nil, err
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.addrs = s.addrs
	maps.Copy(k.addrs, opt.Peers) // what it is told now counts before what it was told once
	k.meet()
	k.http = &http.Server{Handler: k.formed(k.handler()), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	go k.http.Serve(k.listener)
	go k.run(k.ctx)
	return k, nil
}

// Addr is where it serves.
func (k *Replica) Addr() string { return k.listener.Addr().String() }

// Done is closed when the keeper has ended; then Err tells why.
func (k *Replica) Done() <-chan struct{} { return k.ended }

// Err is why it ended by itself; nil: it was closed.
func (k *Replica) Err() error { return k.err }

// Close ends it.
func (k *Replica) Close() {
	k.cancel()
	<-k.ended
}

// now is the keeper's own clock: it never goes back, and tells no time of day.
func (k *Replica) now() lease.Time { return int64(time.Since(k.start)) }

// run is the one goroutine that Raft, the ledger and the warden belong to.
func (k *Replica) run(ctx context.Context) {
	defer func() {
		if k.err != nil {
			k.log.Error("keeper ends", "why", k.err)
		}
		k.cancel()
		k.http.Close()
		k.done.Wait()
		k.store.db.Close()
		close(k.ended)
	}()
	if !k.introduce(ctx) {
		return
	}
	tick := time.NewTicker(k.opt.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			k.node.Tick()
		case <-k.gather.C:
		case call := <-k.calls:
			call()
		}
		for n := len(k.calls); n > 0; n-- {
			(<-k.calls)()
		}
		if k.err = k.work(); k.err != nil {
			return
		}
	}
}

// introduce tells the others of this start and waits until a majority with itself has heard of it.
func (k *Replica) introduce(ctx context.Context) bool {
	heard := map[uint64]bool{k.opt.ID: true}
	news := make(chan uint64, len(k.peers))
	refused := make(chan error, len(k.peers))
	for id, p := range k.peers {
		k.done.Add(1)
		go func() {
			defer k.done.Done()
			for ctx.Err() == nil {
				switch err := p.hello(ctx, greeting{k.opt.ID, k.store.starts, k.store.incarnation, k.opt.form}); {
				case err == nil:
					news <- id
					return
				case errors.Is(err, ErrStaleIncarnation):
					refused <- err
					return
				}
				select {
				case <-ctx.Done():
				case <-time.After(2 * k.opt.TickInterval):
				}
			}
		}()
	}
	for len(heard) <= len(k.opt.Peers)/2 {
		select {
		case <-ctx.Done():
			return false
		case k.err = <-refused:
			return false
		case id := <-news:
			heard[id] = true
		case call := <-k.calls: // the others have to be heard meanwhile
			call()
		}
	}
	k.takesPart = true
	k.done.Add(1)
	go func() { // those that answer later may still know better
		defer k.done.Done()
		select {
		case <-ctx.Done():
		case err := <-refused:
			k.do(ctx, func() { k.err = err })
		}
	}()
	k.log.Info("keeper takes part", "start", k.store.starts, "term", k.node.BasicStatus().HardState.GetTerm(), "announced", k.ledger.Announced, "versions", len(k.ledger.Versions))
	return true
}

// do has something done by the keeper's goroutine.
func (k *Replica) do(ctx context.Context, f func()) bool {
	select {
	case k.calls <- f:
		return true
	case <-ctx.Done():
	case <-k.ended:
	}
	return false
}

// work does all that follows from what has happened.
func (k *Replica) work() error {
	if k.err != nil {
		return k.err
	}
	for {
		k.confirm()
		k.decide()
		k.tell()
		if !k.node.HasReady() {
			return nil
		}
		rd := k.node.Ready()
		if rd.SoftState != nil {
			k.lead(rd.SoftState)
		}
		if err := k.store.save(&rd); err != nil { // nothing that builds on it has been said yet
			return fmt.Errorf("what has to last cannot be written, so nothing is promised by it: %w", err)
		}
		for _, m := range rd.Messages {
			if p := k.peers[m.GetTo()]; p != nil {
				p.send(m)
			}
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			l, err := lease.Restore(rd.Snapshot.GetData())
			if err != nil {
				return err
			}
			for _, v := range k.ledger.Versions { // those between it and the new one are not known here
				if l.Version(v.Number) == nil {
					k.store.history.pending = append(k.store.history.pending, forgotten{v, k.ledger.Delta(v.Number)})
				}
			}
			k.ledger, k.applied, k.conf = l, rd.Snapshot.GetMetadata().GetIndex(), rd.Snapshot.GetMetadata().GetConfState()
		}
		for _, e := range rd.CommittedEntries {
			if err := k.apply(e); err != nil {
				return err
			}
		}
		for _, r := range rd.ReadStates {
			if k.sure != nil && string(r.RequestCtx) == string(k.sure.ctx) {
				k.sure.index = r.Index
			}
		}
		k.node.Advance(rd)
		if k.store.full(k.applied, k.opt.CompactionEntries) {
			if err := k.compact(); err != nil {
				return err
			}
		}
	}
}

// compact keeps a snapshot of the ledger in place of the log so far, but for the last tenth.
func (k *Replica) compact() error {
	if err := k.store.compact(k.applied, k.conf, k.ledger.Snapshot(), k.opt.CompactionEntries/10); err != nil {
		return fmt.Errorf("the log cannot be compacted: %w", err)
	}
	return nil
}
