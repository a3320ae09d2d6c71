package lease

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// An entry of the log is a command in one of two forms. The first is its JSON, with a proposal's whole content. The second begins with a
// byte that no JSON begins with, so that a keeper that does not know it stops there: then the length of the JSON that follows (uvarint),
// the JSON without the content, and the content as package delta codes it, from that of the version before or whole.

// Format is the newest form of entries and snapshots that this program knows.
const Format = 2

// mark is the first byte of what is in the second form.
const mark = 0x02

// The largest texts of a proposal, bytes: they stay in each keeper's log and history.
const (
	mostID  = 128
	mostWho = 256
	mostWhy = 2048
)

// ErrInvalidEntry tells of an entry of the log that cannot be taken: who goes on without it parts from the others.
var ErrInvalidEntry = errors.New("an entry of the log cannot be taken")

// Validate refuses a proposal that is too large to be put into the log.
func (p *Proposal) Validate() error {
	for _, part := range []struct {
		what       string
		have, most int
	}{{"content", len(p.Content), configversion.MaxContentBytes}, {"ID", len(p.ID), mostID}, {"author", len(p.Author), mostWho}, {"time", len(p.CreatedAt), mostWho}, {"reason", len(p.Reason), mostWhy}} {
		if part.have > part.most {
			return fmt.Errorf("the proposal's %s has %d bytes, %d at most are taken", part.what, part.have, part.most)
		}
	}
	return nil
}

// EncodeEntry writes a command for the log, in a form that all keepers read. In form 2 the content is a delta from that of its parent, as the
// ledger has it; whoever applies it has the same, or refuses the proposal before it looks at the content.
func (c *Command) EncodeEntry(form int, l *StateMachine) ([]byte, error) {
	if form < 2 {
		if len(c.Forget) > 0 {
			return nil, errors.New("an entry of form 1 cannot tell what to forget")
		}
		return json.Marshal(c)
	}
	if c.Propose == nil && len(c.Forget) == 0 {
		return json.Marshal(c)
	}
	short := *c
	var coded []byte
	if c.Propose != nil {
		p := *c.Propose
		if err := p.code(l); err != nil {
			return nil, err
		}
		short.Propose, coded = &p, p.Delta
	}
	head, err := json.Marshal(&short)
	if err != nil {
		return nil, err
	}
	out := binary.AppendUvarint([]byte{mark}, uint64(len(head)))
	return append(append(out, head...), coded...), nil
}

// code puts the coded content in place of the whole.
func (p *Proposal) code(l *StateMachine) (err error) {
	var base []byte
	p.Digest, p.DeltaBase = configversion.DigestOf(p.Content), 0
	if v := l.Version(p.Parent); v != nil && p.Parent == l.Announced {
		p.DeltaBase, base = v.Number, v.Content
	}
	if p.Delta, err = delta.Encode(base, p.Content); err != nil {
		return err
	}
	if b, err := delta.Decode(base, p.Delta, configversion.MaxContentBytes); err != nil || configversion.DigestOf(b) != p.Digest { // each keeper would end by it
		return fmt.Errorf("the content of %d bytes is not the same once it is coded and decoded: %v", len(p.Content), err)
	}
	p.Content = nil
	return nil
}

// DecodeEntry reads what Entry wrote.
func DecodeEntry(b []byte) (*Command, error) {
	c := &Command{}
	if len(b) == 0 || b[0] != mark {
		return c, json.Unmarshal(b, c)
	}
	size, n := binary.Uvarint(b[1:])
	if n <= 0 || size > uint64(len(b)-1-n) {
		return nil, fmt.Errorf("it is cut off within its first %d bytes", len(b))
	}
	head, coded := b[1+n:1+n+int(size)], b[1+n+int(size):]
	if err := json.Unmarshal(head, c); err != nil {
		return nil, err
	}
	switch {
	case c.Propose != nil:
		c.Propose.Content, c.Propose.Delta = nil, coded
	case len(c.Forget) == 0:
		return nil, errors.New("it is of form 2 and has nothing that this program knows of it")
	}
	return c, nil
}

// content is what is proposed, decoded and checked. Its parent is the announced version.
func (p *Proposal) content(l *StateMachine) ([]byte, error) {
	if p.Delta == nil {
		return p.Content, nil
	}
	var base []byte
	if p.DeltaBase != 0 {
		v := l.Version(p.DeltaBase)
		if p.DeltaBase != p.Parent || v == nil {
			return nil, fmt.Errorf("%w: proposal %q is a delta from version %d, and %d is announced", ErrInvalidEntry, p.ID, p.DeltaBase, l.Announced)
		}
		base = v.Content
	}
	b, err := delta.Decode(base, p.Delta, configversion.MaxContentBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: proposal %q, a delta of %d bytes from version %d: %w", ErrInvalidEntry, p.ID, len(p.Delta), p.DeltaBase, err)
	}
	if sum := configversion.DigestOf(b); sum != p.Digest {
		return nil, fmt.Errorf("%w: proposal %q, a delta of %d bytes from version %d, comes to a content of digest %.12s, and it says %.12s", ErrInvalidEntry, p.ID,
			len(p.Delta), p.DeltaBase, sum, p.Digest)
	}
	return b, nil
}
