package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// A fleet's voters are changed by the log itself, over a joint majority of those before and after (Raft's own rule), so that no two
// majorities can speak for different sets. A keeper that has lost its folder is replaced by one with another number: under its own it
// would vote twice.

// MembershipChange is a change of the keepers that vote.
type MembershipChange struct {
	Add    map[uint64]string `json:"add,omitempty"` // addresses, as the other keepers reach them, by numbers that were never used
	Remove []uint64          `json:"remove,omitempty"`
}

// ErrMembershipChange tells why a change of voters is refused.
var ErrMembershipChange = errors.New("this change of keepers cannot be")

// votersCall is a change that waits for its place in the log.
type votersCall struct {
	to chan error
}

// check refuses a change that cannot be, given who votes.
func (v *MembershipChange) check(now []uint64, used map[uint64]string) error {
	left := len(now) + len(v.Add) - len(v.Remove)
	for _, n := range v.Remove {
		if !slices.Contains(now, n) {
			return fmt.Errorf("%w: keeper %d does not vote, %v do", ErrMembershipChange, n, now)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(v.Add)) {
		if _, known := used[n]; known || n == 0 || v.Add[n] == "" {
			return fmt.Errorf("%w: the number %d has been used, or is none, or has no address", ErrMembershipChange, n)
		}
	}
	if left < 1 || left > 7 || len(v.Add)+len(v.Remove) == 0 {
		return fmt.Errorf("%w: %d would vote", ErrMembershipChange, left)
	}
	return nil
}

// made tells that the change has been made already: who asks again has not heard the answer.
func (v *MembershipChange) made(now []uint64, used map[uint64]string) bool {
	for _, n := range v.Remove {
		if _, known := used[n]; !known || slices.Contains(now, n) {
			return false
		}
	}
	for n, addr := range v.Add {
		if used[n] != addr || !slices.Contains(now, n) {
			return false
		}
	}
	return len(v.Add)+len(v.Remove) > 0
}

// change makes it an entry of the log.
func (v *MembershipChange) change() *raftpb.ConfChangeV2 {
	c := &raftpb.ConfChangeV2{}
	c.Context, _ = json.Marshal(v) // texts and whole numbers only
	add := func(t raftpb.ConfChangeType, n uint64) {
		c.Changes = append(c.Changes, &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(n)})
	}
	for _, n := range slices.Sorted(maps.Keys(v.Add)) {
		add(raftpb.ConfChangeAddNode, n)
	}
	for _, n := range v.Remove {
		add(raftpb.ConfChangeRemoveNode, n)
	}
	return c
}

// propose puts a change of voters into the log; to hears once it counts, or why it does not.
func (k *Replica) proposeVoters(v *MembershipChange, to chan error) {
	if k.warden == nil {
		to <- ErrNotLeader
		return
	}
	if k.voting != nil || len(k.conf.GetVotersOutgoing()) > 0 {
		to <- fmt.Errorf("%w: another change is under way", ErrMembershipChange)
		return
	}
	if v.made(k.conf.GetVoters(), k.addrs) {
		to <- nil
		return
	}
	if err := v.check(k.conf.GetVoters(), k.addrs); err != nil {
		to <- err
		return
	}
	if err := k.node.ProposeConfChange(v.change()); err != nil {
		to <- err
		return
	}
	k.voting = &votersCall{to}
}

// applyVoters takes a change of voters from the log.
func (k *Replica) applyVoters(e *raftpb.Entry) error {
	c := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), c); err != nil {
		return fmt.Errorf("entry %d of the log cannot be read: %w", e.GetIndex(), err)
	}
	k.conf = k.node.ApplyConfChange(c)
	if err := k.compact(); err != nil { // one that joins takes no snapshot without itself in it
		return err
	}
	if len(c.GetContext()) > 0 {
		v := &MembershipChange{}
		if err := json.Unmarshal(c.GetContext(), v); err != nil {
			return fmt.Errorf("entry %d of the log cannot be read: %w", e.GetIndex(), err)
		}
		maps.Copy(k.addrs, v.Add)
		if err := k.store.address(k.addrs); err != nil {
			return err
		}
		k.meet()
		k.log.Info("keepers change", "added", len(v.Add), "removed", v.Remove, "voters", k.conf.GetVoters())
	}
	if k.voting != nil && len(k.conf.GetVotersOutgoing()) == 0 {
		k.voting.to <- nil
		k.voting = nil
	}
	return nil
}

// meet has a way to each keeper whose address is known, but for this one.
func (k *Replica) meet() {
	for id, addr := range k.addrs {
		if id == k.opt.ID || k.peers[id] != nil {
			continue
		}
		p := newPeer(k, id, addr)
		k.peers[id] = p
		k.done.Add(1)
		go func() { defer k.done.Done(); p.run(k.ctx) }()
	}
}

func (k *Replica) votersHandler(w http.ResponseWriter, r *http.Request) {
	v := &MembershipChange{}
	if !read(w, r, v) {
		return
	}
	to := make(chan error, 1)
	k.do(r.Context(), func() { k.proposeVoters(v, to) })
	ctx, cancel := context.WithTimeout(r.Context(), patience)
	defer cancel()
	select {
	case err := <-to:
		switch {
		case errors.Is(err, ErrNotLeader):
			k.elsewhere(w)
		case err != nil:
			http.Error(w, err.Error(), http.StatusConflict)
		default:
			w.Write([]byte("true"))
		}
	case <-ctx.Done():
		http.Error(w, "not in the log yet", http.StatusGatewayTimeout)
	}
}

// ChangeMembership changes who keeps the versions. It may be asked for again after it is done, which changes nothing.
func (c *Client) ChangeMembership(v *MembershipChange) error {
	done := false
	return c.ask(http.MethodPost, "/voters", v, &done)
}
