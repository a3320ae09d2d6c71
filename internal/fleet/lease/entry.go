package lease

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// A log entry is a Command in one of two formats. Format 1 is its JSON, with a proposal's complete content.
// Format 2 begins with a byte that no JSON begins with, so that a replica that does not know it stops there.
// The length of the JSON follows (uvarint), then the JSON without the content, and then the content in the
// form of package delta, either as a delta from its parent or complete.

// formatWithDeltas is the first format with deltas, in which versions can be forgotten.
const formatWithDeltas = 2

// Format is the newest format of log entries and snapshots that this build reads and writes.
const Format = formatWithDeltas

// format2Mark is the first byte of an entry or a snapshot in format 2.
const format2Mark = 0x02

// Errors of log entries.
var (
	// ErrInvalidEntry means that a committed entry cannot be applied. A replica that went on without it would
	// differ from the others.
	ErrInvalidEntry = errors.New("the log entry cannot be applied")

	errForgetFormat     = errors.New("a log entry of format 1 cannot forget versions")
	errEntryTruncated   = errors.New("the log entry is truncated")
	errUnknownCommand   = errors.New("the log entry is of format 2 and has no command that this build knows")
	errEncodingMismatch = errors.New("the encoded content decodes to another one")
)

// EncodeEntry writes a command for the log in a format that all replicas read. In format 2 a proposal's
// content is a delta from its parent's content in state. Each replica that applies it has the same parent, or
// refuses the proposal before it looks at the content.
func (c *Command) EncodeEntry(format int, state *StateMachine) ([]byte, error) {
	if format < formatWithDeltas && len(c.Forget) > 0 {
		return nil, errForgetFormat
	}
	if format < formatWithDeltas || c.Propose == nil && len(c.Forget) == 0 {
		return json.Marshal(c)
	}
	header := *c
	var content []byte
	if c.Propose != nil {
		proposal := *c.Propose
		if err := proposal.encodeContent(state); err != nil {
			return nil, err
		}
		header.Propose = &proposal
		content = proposal.Delta
	}
	headerJSON, err := json.Marshal(&header)
	if err != nil {
		return nil, err
	}
	entry := binary.AppendUvarint([]byte{format2Mark}, uint64(len(headerJSON)))
	entry = append(entry, headerJSON...)
	return append(entry, content...), nil
}

// encodeContent replaces the proposal's content by its encoded form.
func (p *Proposal) encodeContent(state *StateMachine) error {
	p.Digest = configversion.DigestOf(p.Content)
	p.DeltaBase = 0
	var base []byte
	if parent := state.Version(p.Parent); parent != nil && p.Parent == state.Announced {
		p.DeltaBase = parent.Number
		base = parent.Content
	}
	var err error
	if p.Delta, err = delta.Encode(base, p.Content); err != nil {
		return err
	}
	// Every replica would stop at an entry that does not decode, so it is tried before it gets into the log.
	decoded, err := delta.Decode(base, p.Delta, configversion.MaxContentBytes)
	if err != nil {
		return fmt.Errorf("decode the encoded content of %d bytes: %w", len(p.Content), err)
	}
	if configversion.DigestOf(decoded) != p.Digest {
		return fmt.Errorf("%w: %d bytes in, %d bytes out", errEncodingMismatch, len(p.Content), len(decoded))
	}
	p.Content = nil
	return nil
}

// DecodeEntry reads an entry of either format.
func DecodeEntry(entry []byte) (*Command, error) {
	command := &Command{}
	if len(entry) == 0 || entry[0] != format2Mark {
		return command, json.Unmarshal(entry, command)
	}
	headerSize, n := binary.Uvarint(entry[1:])
	if n <= 0 || headerSize > uint64(len(entry)-1-n) {
		return nil, fmt.Errorf("%w: it has %d bytes", errEntryTruncated, len(entry))
	}
	headerJSON := entry[1+n : 1+n+int(headerSize)]
	content := entry[1+n+int(headerSize):]
	if err := json.Unmarshal(headerJSON, command); err != nil {
		return nil, err
	}
	switch {
	case command.Propose != nil:
		command.Propose.Content = nil
		command.Propose.Delta = content
	case len(command.Forget) == 0:
		return nil, errUnknownCommand
	}
	return command, nil
}

// decodeContent returns the content of a proposal whose parent is the announced version of state.
func (p *Proposal) decodeContent(state *StateMachine) ([]byte, error) {
	if p.Delta == nil {
		return p.Content, nil
	}
	var base []byte
	if p.DeltaBase != 0 {
		baseVersion := state.Version(p.DeltaBase)
		if p.DeltaBase != p.Parent || baseVersion == nil {
			return nil, fmt.Errorf("%w: proposal %q is a delta from version %d, and %d is announced",
				ErrInvalidEntry, p.ID, p.DeltaBase, state.Announced)
		}
		base = baseVersion.Content
	}
	content, err := delta.Decode(base, p.Delta, configversion.MaxContentBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: proposal %q, a delta of %d bytes from version %d: %w",
			ErrInvalidEntry, p.ID, len(p.Delta), p.DeltaBase, err)
	}
	if digest := configversion.DigestOf(content); digest != p.Digest {
		return nil, fmt.Errorf("%w: proposal %q, a delta of %d bytes from version %d: its digest is %.12s instead of %.12s",
			ErrInvalidEntry, p.ID, len(p.Delta), p.DeltaBase, digest, p.Digest)
	}
	return content, nil
}
