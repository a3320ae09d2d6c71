package lease

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// A log entry is a Command in one of two formats. Format 1 is the command's JSON, including the complete content
// of a proposal. Format 2 begins with a byte that cannot begin JSON, so that a replica that does not support the
// format stops at the entry. The length of the JSON follows (uvarint), then the JSON without the content, and then
// the content as encoded by package delta: complete, or as a delta from its parent.

// formatWithDeltas is the first format that supports deltas and the command to forget versions.
const formatWithDeltas = 2

// Format is the newest format of log entries and snapshots that this build reads and writes.
const Format = formatWithDeltas

// format2Mark is the first byte of an entry or a snapshot in format 2.
const format2Mark = 0x02

// Errors of log entries.
var (
	// ErrInvalidEntry means that a committed entry cannot be applied. A replica that skipped it would diverge
	// from the others.
	ErrInvalidEntry = errors.New("the log entry cannot be applied")

	errForgetFormat     = errors.New("format 1 of the log does not support forgetting versions")
	errEntryTruncated   = errors.New("the log entry is truncated")
	errUnknownCommand   = errors.New("the log entry is of format 2 and holds no command known to this build")
	errEncodingMismatch = errors.New("the encoded content decodes to different content")
)

// EncodeEntry encodes a command as a log entry. All replicas must be able to read the format. In format 2, a
// proposal's content is a delta from its parent's content in state. Each replica that applies the entry either has
// the same parent or rejects the proposal before it decodes the content.
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

// encodeContent replaces the proposal's content with its encoded form.
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
	// Every replica would stop at an entry that does not decode, so decoding is tested before the entry reaches the
	// log.
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

// DecodeEntry decodes a log entry of either format.
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

// decodeContent returns the content of a proposal, whose parent must be the announced version of state.
func (p *Proposal) decodeContent(state *StateMachine) ([]byte, error) {
	if p.Delta == nil {
		return p.Content, nil
	}
	var base []byte
	if p.DeltaBase != 0 {
		baseVersion := state.Version(p.DeltaBase)
		if p.DeltaBase != p.Parent || baseVersion == nil {
			return nil, fmt.Errorf("%w: proposal %q is a delta from version %d, but version %d is announced",
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
		return nil, fmt.Errorf("%w: proposal %q, a delta of %d bytes from version %d: digest %.12s, expected %.12s",
			ErrInvalidEntry, p.ID, len(p.Delta), p.DeltaBase, digest, p.Digest)
	}
	return content, nil
}
