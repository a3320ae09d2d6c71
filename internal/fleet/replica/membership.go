package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// maxVoters is the maximum number of voting replicas.
const maxVoters = 7

// membership is what a replica knows about the members of its group.
type membership struct {
	configuration *raftpb.ConfState
	addresses     map[uint64]string // of all present and former replicas, by ID
	peers         map[uint64]*peer  // connections, by ID
	entryFormats  map[uint64]int    // newest format that each peer reads, by ID; 0: unknown
	pending       chan<- error      // receives the outcome of the change requested from this replica; nil: none
}

// MembershipChange is a change of the replicas that vote.
//
// It is a log entry that takes effect by Raft's joint consensus, which needs majorities of both the old and the new
// voters, so that no two majorities can decide differently. A replica that has lost its folder is replaced by one with
// another ID: under its old one it could vote twice.
type MembershipChange struct {
	// Add has the addresses at which the other replicas reach the new ones, by ID. The IDs must never have been used.
	Add map[uint64]string `json:"add,omitempty"`

	// Remove has the IDs of replicas that are to stop voting.
	Remove []uint64 `json:"remove,omitempty"`
}

// ErrMembershipChange reports why a membership change is rejected. Clients see its text in responses with status 409.
var ErrMembershipChange = errors.New("this change of keepers cannot be")

// validate rejects a change that is not possible with the present voters and the IDs used so far.
func (c *MembershipChange) validate(voters []uint64, used map[uint64]string) error {
	for _, id := range c.Remove {
		if !slices.Contains(voters, id) {
			return fmt.Errorf("%w: keeper %d does not vote, %v do", ErrMembershipChange, id, voters)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.Add)) {
		if _, known := used[id]; known || id == 0 || c.Add[id] == "" {
			return fmt.Errorf("%w: the number %d has been used, or is none, or has no address", ErrMembershipChange, id)
		}
	}
	size := len(voters) + len(c.Add) - len(c.Remove)
	if size < 1 || size > maxVoters || len(c.Add)+len(c.Remove) == 0 {
		return fmt.Errorf("%w: %d would vote", ErrMembershipChange, size)
	}
	return nil
}

// applied reports whether the change has taken effect already: a client that missed the response sends it again.
func (c *MembershipChange) applied(voters []uint64, used map[uint64]string) bool {
	for _, id := range c.Remove {
		if _, known := used[id]; !known || slices.Contains(voters, id) {
			return false
		}
	}
	for id, address := range c.Add {
		if used[id] != address || !slices.Contains(voters, id) {
			return false
		}
	}
	return len(c.Add)+len(c.Remove) > 0
}

// confChange converts the change to Raft's form. Its context is the change's JSON.
func (c *MembershipChange) confChange() *raftpb.ConfChangeV2 {
	change := &raftpb.ConfChangeV2{}
	change.Context, _ = json.Marshal(c) // cannot fail: strings and integers only
	add := func(kind raftpb.ConfChangeType, id uint64) {
		single := &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(id)}
		change.Changes = append(change.Changes, single)
	}
	for _, id := range slices.Sorted(maps.Keys(c.Add)) {
		add(raftpb.ConfChangeAddNode, id)
	}
	for _, id := range c.Remove {
		add(raftpb.ConfChangeRemoveNode, id)
	}
	return change
}

// proposeMembershipChange submits a change to Raft. Result receives nil once it has taken effect, or why it does not.
func (r *Replica) proposeMembershipChange(change *MembershipChange, result chan<- error) {
	voters := r.membership.configuration.GetVoters()
	switch {
	case r.leadership.manager == nil:
		result <- ErrNotLeader
		return
	case r.membership.pending != nil || len(r.membership.configuration.GetVotersOutgoing()) > 0:
		result <- fmt.Errorf("%w: another change is under way", ErrMembershipChange)
		return
	case change.applied(voters, r.membership.addresses):
		result <- nil
		return
	}
	if err := change.validate(voters, r.membership.addresses); err != nil {
		result <- err
		return
	}
	if err := r.node.ProposeConfChange(change.confChange()); err != nil {
		result <- err
		return
	}
	r.membership.pending = result
}

// applyMembershipChange applies a log entry that changes the voters.
func (r *Replica) applyMembershipChange(entry *raftpb.Entry) error {
	confChange := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), confChange); err != nil {
		return fmt.Errorf("log entry %d cannot be read: %w", entry.GetIndex(), err)
	}
	r.membership.configuration = r.node.ApplyConfChange(confChange)
	// A joining replica must not be sent a snapshot whose voters do not include it.
	if err := r.compact(); err != nil {
		return err
	}
	if len(confChange.GetContext()) > 0 {
		change := &MembershipChange{}
		if err := json.Unmarshal(confChange.GetContext(), change); err != nil {
			return fmt.Errorf("log entry %d cannot be read: %w", entry.GetIndex(), err)
		}
		if err := r.connectAdded(change); err != nil {
			return err
		}
	}
	if r.membership.pending != nil && len(r.membership.configuration.GetVotersOutgoing()) == 0 {
		r.membership.pending <- nil
		r.membership.pending = nil
	}
	return nil
}

// connectAdded records the addresses of added replicas and connects to them.
func (r *Replica) connectAdded(change *MembershipChange) error {
	maps.Copy(r.membership.addresses, change.Add)
	if err := r.store.saveAddresses(r.membership.addresses); err != nil {
		return err
	}
	r.connectPeers()
	r.logger.Info("membership changed", "added", len(change.Add), "removed", change.Remove,
		"voters", r.membership.configuration.GetVoters())
	return nil
}

// connectPeers starts a connection to each peer whose address is known and that has no connection yet.
func (r *Replica) connectPeers() {
	for id, address := range r.membership.addresses {
		if id == r.options.ID || r.membership.peers[id] != nil {
			continue
		}
		p := newPeer(r, id, address)
		r.membership.peers[id] = p
		r.goroutines.Add(1)
		go func() {
			defer r.goroutines.Done()
			p.run(r.ctx)
		}()
	}
}

// handleMembershipChange handles POST /voters: 200 once the change has taken effect.
func (r *Replica) handleMembershipChange(w http.ResponseWriter, req *http.Request) {
	change := &MembershipChange{}
	if !decodeBody(w, req, change) {
		return
	}
	result := make(chan error, 1)
	r.enqueue(req.Context(), func() { r.proposeMembershipChange(change, result) })
	err, done := awaitProposal(w, req, result)
	if !done {
		return
	}
	if err != nil {
		writeProposalError(w, err)
		return
	}
	_, _ = w.Write([]byte("true"))
}
