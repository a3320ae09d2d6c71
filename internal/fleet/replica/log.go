package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"irispost/internal/fleet/lease"
)

// lead notes who leads.
func (k *Replica) lead(s *raft.SoftState) {
	k.leader = s.Lead
	leads := s.RaftState == raft.StateLeader
	if k.leads && !leads {
		k.log.Info("no longer leads", "leader", s.Lead)
	}
	k.leads = leads
	if !leads {
		k.warden = nil
		k.refuse()
	}
}

// refuse tells all that wait that this keeper does not lead. A proposal may still come into the log.
func (k *Replica) refuse() {
	calls := k.asks
	if k.sure != nil {
		calls = append(calls, k.sure.calls...)
	}
	k.asks, k.sure = nil, nil
	for _, c := range calls {
		c.then(nil)
	}
	if k.voting != nil {
		k.voting.to <- ErrNotLeader
		k.voting = nil
	}
	for id, to := range k.waiting {
		delete(k.waiting, id)
		to <- result{err: ErrNotLeader}
	}
}

// apply takes an entry of the log.
func (k *Replica) apply(e *raftpb.Entry) error {
	k.applied = e.GetIndex()
	term := k.node.BasicStatus().HardState.GetTerm()
	if k.leads && (k.warden == nil || k.term != term) && e.GetTerm() == term { // from here on no earlier leader's entry can follow
		k.term = term
		k.warden = lease.NewManager(k.now(), term, k.ledger, 0)
		k.log.Info("leads", "term", term, "gateways", len(k.ledger.Holders), "in_force", k.ledger.InForce, "announced", k.ledger.Announced)
		if k.ledger.Settings.LeaseDuration == 0 {
			k.put(&lease.Command{Bootstrap: &k.opt.LeaseSettings})
		}
	}
	if e.GetType() == raftpb.EntryConfChangeV2 {
		return k.applyVoters(e)
	}
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return nil
	}
	c, err := k.readEntry(e.GetIndex(), e.GetData())
	if err != nil {
		return err
	}
	k.forget(c.Forget)
	v, err := k.ledger.Apply(c)
	if errors.Is(err, lease.ErrInvalidEntry) {
		return fmt.Errorf("entry %d of the log: %w", e.GetIndex(), err)
	}
	if c.Propose != nil {
		if err == nil && v.Content == nil { // asked for again, and it is forgotten
			if list, _ := k.past(v.Number, v.Number); len(list) > 0 {
				v = list[0]
			}
		} else if err == nil {
			k.log.Info("version announced", "version", v.Name(), "author", v.Author, "reason", v.Reason)
		}
		if to := k.waiting[c.Propose.ID]; to != nil {
			delete(k.waiting, c.Propose.ID)
			to <- result{v, err}
		}
	}
	if c.Activate > 0 && c.Activate == k.ledger.InForce {
		k.log.Info("version in force", "version", k.ledger.Version(c.Activate).Name())
		k.ledger.ReleaseParsed()
	}
	if k.warden != nil {
		k.warden.Applied(c)
	}
	return nil
}

// confirm asks Raft whether this keeper still leads, for all asks that have come in, and answers those that it is sure for.
func (k *Replica) confirm() {
	if k.warden == nil {
		return
	}
	if b := k.sure; b != nil && b.index > 0 && k.applied >= b.index {
		k.sure = nil
		for _, c := range b.calls {
			c.then(k.warden)
		}
	}
	if b := k.sure; b != nil && time.Since(b.at) > 20*k.opt.TickInterval { // its heartbeats were lost
		k.asks, k.sure = append(b.calls, k.asks...), nil
	}
	if k.sure == nil && len(k.asks) > 0 {
		// Each confirmation costs a round to all keepers, so asks are gathered for half a tick, unless a version waits for them.
		if rest := k.opt.TickInterval/2 - time.Since(k.gathered); rest > 0 && k.ledger.InForce == k.ledger.Announced {
			k.gather.Reset(rest)
			return
		}
		k.gathered = time.Now()
		k.readings++
		k.sure = &batch{ctx: binary.BigEndian.AppendUint64(number(k.term), k.readings), at: time.Now(), calls: k.asks}
		k.asks = nil
		k.node.ReadIndex(k.sure.ctx)
	}
}

// decide puts what is due into the log.
func (k *Replica) decide() {
	if k.warden == nil || k.ledger.Settings.LeaseDuration == 0 {
		return
	}
	k.warden.AllowForget(k.form() >= 2)
	if c := k.warden.NextCommand(k.now()); c != nil {
		k.put(c)
	}
}

// whenSure has something done once it is sure that this keeper leads.
func (k *Replica) whenSure(then func(w *lease.Manager)) {
	if k.warden == nil || k.ledger.Settings.LeaseDuration == 0 {
		then(nil)
		return
	}
	k.asks = append(k.asks, &call{then})
}

// step takes messages of other keepers.
func (k *Replica) step(messages []*raftpb.Message) {
	if !k.takesPart { // a vote or an acknowledgement could contradict what an earlier start of it has said
		return
	}
	defer func() { // Raft ends the process where its log is behind what it has acknowledged
		if why := recover(); why != nil {
			k.err = fmt.Errorf("%w (%v)", ErrStaleIncarnation, why)
		}
	}()
	for _, m := range messages {
		if err := k.node.Step(m); err != nil {
			k.log.Debug("a keeper's message was not taken", "from", m.GetFrom(), "why", err)
		}
	}
}

// frames joins messages, each after its length in four bytes.
func frames(messages []*raftpb.Message) ([]byte, error) {
	var out []byte
	for _, m := range messages {
		b, err := proto.Marshal(m)
		if err != nil {
			return nil, err
		}
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(b))), b...)
	}
	return out, nil
}

// parts takes them apart.
func parts(b []byte) (list []*raftpb.Message, err error) {
	for len(b) > 0 {
		if len(b) < 4 || uint32(len(b)-4) < binary.BigEndian.Uint32(b) {
			return nil, errors.New("messages are cut off")
		}
		n := binary.BigEndian.Uint32(b) + 4
		m := &raftpb.Message{}
		if err := proto.Unmarshal(b[4:n], m); err != nil {
			return nil, err
		}
		list, b = append(list, m), b[n:]
	}
	return list, nil
}
