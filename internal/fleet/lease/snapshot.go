package lease

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// A snapshot of format 1 is the JSON of the state. A snapshot of format 2 consists of format2Mark, the length of the
// JSON (uvarint) and the JSON, which omits the versions' contents; then, for each version, the length of its encoded
// content and the encoded content, the first complete and each other one as a delta from the version before it; and
// finally the BLAKE3 digest of everything before.

const snapshotDigestBytes = 32

// Errors of snapshots that cannot be read.
var (
	errSnapshotTruncated    = errors.New("the snapshot is truncated")
	errSnapshotDigest       = errors.New("the snapshot's digest does not match its data")
	errSnapshotFormat       = errors.New("the snapshot's format is newer than this build supports")
	errSnapshotTrailing     = errors.New("the snapshot has trailing data")
	errSnapshotInconsistent = errors.New("the snapshot is inconsistent")
)

// encodedContent is a version's content as encoded by package delta.
type encodedContent struct {
	base  uint64 // number of the version that bytes is a delta from; 0: bytes is complete
	bytes []byte
}

// Delta returns a version's content as a delta from the previous version if it was received or stored in that form,
// and nil otherwise.
func (s *StateMachine) Delta(number uint64) []byte {
	if c := s.encoded[number]; c.base > 0 && c.base+1 == number {
		return c.bytes
	}
	return nil
}

// Snapshot encodes the state in the newest format that its log has used.
func (s *StateMachine) Snapshot() []byte {
	if s.Format < formatWithDeltas {
		return mustMarshalState(s)
	}
	header := *s
	header.Versions = make([]*configversion.Version, len(s.Versions))
	for i, v := range s.Versions {
		header.Versions[i] = &configversion.Version{
			Number:    v.Number,
			Parent:    v.Parent,
			Digest:    v.Digest,
			Author:    v.Author,
			Reason:    v.Reason,
			CreatedAt: v.CreatedAt,
		}
	}
	snapshot := appendLengthPrefixed([]byte{format2Mark}, mustMarshalState(&header))
	previous := &configversion.Version{}
	for _, v := range s.Versions {
		snapshot = appendLengthPrefixed(snapshot, s.encodedFrom(previous, v))
		previous = v
	}
	digest := blake3.Sum256(snapshot)
	return append(snapshot, digest[:]...)
}

// encodedFrom returns a version's content as a delta from base, or complete if base has no content. The result is
// cached.
func (s *StateMachine) encodedFrom(base, version *configversion.Version) []byte {
	if content, known := s.encoded[version.Number]; known && content.base == base.Number {
		return content.bytes
	}
	encoded, err := delta.Encode(base.Content, version.Content)
	if err != nil {
		panic("encode a snapshot: " + err.Error()) // the encoder's options are constant and valid
	}
	s.encoded[version.Number] = encodedContent{base.Number, encoded}
	return encoded
}

// mustMarshalState encodes a state as JSON. That cannot fail, as a state holds only strings, numbers and bytes.
func mustMarshalState(s *StateMachine) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic("encode a snapshot: " + err.Error())
	}
	return b
}

// appendLengthPrefixed appends a part, preceded by its length.
func appendLengthPrefixed(to, part []byte) []byte {
	to = binary.AppendUvarint(to, uint64(len(part)))
	return append(to, part...)
}

// Restore decodes and checks a snapshot of either format.
func Restore(snapshot []byte) (*StateMachine, error) {
	s := NewStateMachine()
	if err := s.decodeSnapshot(snapshot); err != nil {
		return nil, fmt.Errorf("a snapshot of %d bytes cannot be read: %w", len(snapshot), err)
	}
	if err := s.checkVersions(); err != nil {
		return nil, fmt.Errorf("a snapshot of %d bytes cannot be read: %w", len(snapshot), err)
	}
	return s, nil
}

func (s *StateMachine) decodeSnapshot(snapshot []byte) error {
	if len(snapshot) > 0 && snapshot[0] == format2Mark {
		return s.decodeFormat2(snapshot)
	}
	if err := json.Unmarshal(snapshot, s); err != nil {
		return err
	}
	if s.Announced != uint64(len(s.Versions)) { // format 1 never forgets versions
		return fmt.Errorf("%w: it holds %d versions; version %d is announced and version %d in force",
			errSnapshotInconsistent, len(s.Versions), s.Announced, s.InForce)
	}
	return nil
}

// checkVersions checks that the versions are in ascending order and that those in force and announced are present.
func (s *StateMachine) checkVersions() error {
	if s.InForce > s.Announced {
		return fmt.Errorf("%w: version %d is announced, but version %d is in force",
			errSnapshotInconsistent, s.Announced, s.InForce)
	}
	previous := uint64(0)
	for i, v := range s.Versions {
		if v == nil || v.Number <= previous || v.Number > s.Announced {
			return fmt.Errorf("%w: unexpected version %s at index %d of %d, version %d is announced",
				errSnapshotInconsistent, v.Name(), i, len(s.Versions), s.Announced)
		}
		previous = v.Number
	}
	for _, number := range []uint64{s.InForce, s.Announced} {
		if number > 0 && s.Version(number) == nil {
			return fmt.Errorf("%w: version %d is missing, version %d is in force and version %d announced",
				errSnapshotInconsistent, number, s.InForce, s.Announced)
		}
	}
	return nil
}

// decodeFormat2 decodes a snapshot of format 2.
func (s *StateMachine) decodeFormat2(snapshot []byte) error {
	if len(snapshot) < 1+snapshotDigestBytes {
		return errSnapshotTruncated
	}
	body, digest := snapshot[:len(snapshot)-snapshotDigestBytes], snapshot[len(snapshot)-snapshotDigestBytes:]
	if sum := blake3.Sum256(body); !bytes.Equal(sum[:], digest) {
		return fmt.Errorf("%w: computed %x, stored %x", errSnapshotDigest, sum[:6], digest[:6])
	}
	header, rest, err := cutLengthPrefixed(body[1:])
	if err != nil {
		return fmt.Errorf("header: %w", err)
	}
	if err := json.Unmarshal(header, s); err != nil {
		return fmt.Errorf("header: %w", err)
	}
	if s.Format > Format {
		return fmt.Errorf("%w: the snapshot has format %d, the newest supported is %d", errSnapshotFormat, s.Format, Format)
	}
	previous := &configversion.Version{}
	for i, v := range s.Versions {
		if v == nil {
			return fmt.Errorf("%w: the header's version at index %d is null", errSnapshotInconsistent, i)
		}
		var encoded []byte
		if encoded, rest, err = cutLengthPrefixed(rest); err != nil {
			return fmt.Errorf("version %d: %w", v.Number, err)
		}
		if err := s.decodeVersion(v, previous, encoded); err != nil {
			return err
		}
		previous = v
	}
	if len(rest) > 0 {
		return fmt.Errorf("%w: %d bytes", errSnapshotTrailing, len(rest))
	}
	return nil
}

// decodeVersion sets a version's content from its encoded form, a delta from base.
func (s *StateMachine) decodeVersion(version, base *configversion.Version, encoded []byte) error {
	content, err := delta.Decode(base.Content, encoded, configversion.MaxContentBytes)
	if err != nil {
		return fmt.Errorf("version %d, a delta from version %d: %w", version.Number, base.Number, err)
	}
	if digest := configversion.DigestOf(content); digest != version.Digest {
		return fmt.Errorf("%w: the content of version %d has digest %.12s, expected %.12s",
			errSnapshotInconsistent, version.Number, digest, version.Digest)
	}
	version.Content = content
	s.encoded[version.Number] = encodedContent{base.Number, bytes.Clone(encoded)}
	return nil
}

// cutLengthPrefixed splits a part that appendLengthPrefixed wrote off the front of a slice.
func cutLengthPrefixed(from []byte) (part, rest []byte, err error) {
	size, n := binary.Uvarint(from)
	if n <= 0 || size > uint64(len(from)-n) {
		return nil, nil, errSnapshotTruncated
	}
	end := n + int(size)
	return from[n:end], from[end:], nil
}
