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

// A snapshot of a ledger of form 2: the mark, the length of a JSON (uvarint) and the ledger's JSON with versions without contents; then for
// each version the length of its coded content and that, the first whole and each other a delta from the one before it; then the BLAKE3 sum
// of all this, 32 bytes. One of the first form is the ledger's JSON.

// code is a content as package delta coded it from the content of another version; 0: whole.
type code struct {
	base  uint64
	bytes []byte
}

// Delta is a version's content as a delta from that of the version before, where it came so; nil: it did not.
func (l *StateMachine) Delta(n uint64) []byte {
	if c := l.codes[n]; c.base > 0 && c.base+1 == n {
		return c.bytes
	}
	return nil
}

// Snapshot writes the ledger down, in the form that its log has come to.
func (l *StateMachine) Snapshot() []byte {
	if l.Format < 2 {
		b, err := json.Marshal(l)
		if err != nil {
			panic("a ledger cannot be written: " + err.Error()) // it holds texts and whole numbers only
		}
		return b
	}
	head := *l
	head.Versions = make([]*configversion.Version, len(l.Versions))
	for i, v := range l.Versions {
		bare := configversion.Version{Number: v.Number, Parent: v.Parent, Digest: v.Digest, Author: v.Author, Reason: v.Reason, CreatedAt: v.CreatedAt}
		head.Versions[i] = &bare
	}
	b, err := json.Marshal(&head)
	if err != nil {
		panic("a ledger cannot be written: " + err.Error())
	}
	out := append(binary.AppendUvarint([]byte{mark}, uint64(len(b))), b...)
	base, from := []byte(nil), uint64(0)
	for _, v := range l.Versions {
		c, known := l.codes[v.Number]
		if !known || c.base != from {
			c.base = from
			if c.bytes, err = delta.Encode(base, v.Content); err != nil {
				panic("a ledger cannot be written: " + err.Error()) // the encoder has no settings that could fail
			}
			l.codes[v.Number] = c
		}
		out = append(binary.AppendUvarint(out, uint64(len(c.bytes))), c.bytes...)
		base, from = v.Content, v.Number
	}
	sum := blake3.Sum256(out)
	return append(out, sum[:]...)
}

// Restore reads what Save wrote, in either form.
func Restore(b []byte) (*StateMachine, error) {
	l := NewStateMachine()
	if len(b) > 0 && b[0] == mark {
		if err := l.restore(b); err != nil {
			return nil, fmt.Errorf("a ledger of %d bytes cannot be read: %w", len(b), err)
		}
	} else if err := json.Unmarshal(b, l); err != nil {
		return nil, fmt.Errorf("a ledger cannot be read: %w", err)
	} else if l.Announced != uint64(len(l.Versions)) {
		return nil, fmt.Errorf("a ledger of %d versions has %d announced and %d in force", len(l.Versions), l.Announced, l.InForce)
	}
	if l.InForce > l.Announced {
		return nil, fmt.Errorf("a ledger has %d announced and %d in force", l.Announced, l.InForce)
	}
	for i, v := range l.Versions {
		if v == nil || v.Number == 0 || v.Number > l.Announced || i > 0 && v.Number <= l.Versions[i-1].Number {
			return nil, fmt.Errorf("a ledger has version %s at place %d of %d, and %d is announced", v.Name(), i, len(l.Versions), l.Announced)
		}
	}
	for _, n := range []uint64{l.InForce, l.Announced} {
		if n > 0 && l.Version(n) == nil {
			return nil, fmt.Errorf("a ledger has not got version %d, with %d in force and %d announced", n, l.InForce, l.Announced)
		}
	}
	return l, nil
}

func (l *StateMachine) restore(b []byte) error {
	if len(b) < 1+32 {
		return errors.New("it is cut off")
	}
	body, tail := b[:len(b)-32], b[len(b)-32:]
	if sum := blake3.Sum256(body); !bytes.Equal(sum[:], tail) {
		return fmt.Errorf("its %d bytes have the sum %x, and it says %x", len(body), sum[:6], tail[:6])
	}
	rest := body[1:]
	part := func(what string) ([]byte, error) {
		size, n := binary.Uvarint(rest)
		if n <= 0 || size > uint64(len(rest)-n) {
			return nil, fmt.Errorf("%s at byte %d is cut off", what, len(body)-len(rest))
		}
		one := rest[n : n+int(size)]
		rest = rest[n+int(size):]
		return one, nil
	}
	head, err := part("the head")
	if err != nil {
		return err
	}
	if err := json.Unmarshal(head, l); err != nil {
		return fmt.Errorf("the head: %w", err)
	}
	if l.Format > Format {
		return fmt.Errorf("it is of form %d, this program knows form %d: a newer program is needed", l.Format, Format)
	}
	base, from := []byte(nil), uint64(0)
	for i, v := range l.Versions {
		if v == nil {
			return fmt.Errorf("the head has no version at place %d", i)
		}
		coded, err := part(fmt.Sprintf("version %d", v.Number))
		if err != nil {
			return err
		}
		if v.Content, err = delta.Decode(base, coded, configversion.MaxContentBytes); err != nil {
			return fmt.Errorf("version %d, coded from %d: %w", v.Number, from, err)
		}
		if sum := configversion.DigestOf(v.Content); sum != v.Digest {
			return fmt.Errorf("version %d has a content of digest %.12s, and it says %.12s", v.Number, sum, v.Digest)
		}
		l.codes[v.Number] = code{from, bytes.Clone(coded)}
		base, from = v.Content, v.Number
	}
	if len(rest) > 0 {
		return fmt.Errorf("%d bytes follow after it", len(rest))
	}
	return nil
}
