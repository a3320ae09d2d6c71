package capture

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/zeebo/blake3"

	"irispost/scheduler"
)

// Redactor replaces names by keyed hashes (BLAKE3): addresses and zones of nodes, service levels, request classes, and
// the gateway. Under one key, a name always gets the same hash, so a replay makes the same decisions. Request IDs are
// kept, as the scheduler orders ties by them. They contain only numbers and the gateway's name, which is replaced.
type Redactor struct {
	key     [32]byte
	gateway string
	hashes  map[string]string // by original name
	names   []string          // original names, the longest first, as one name may be part of another in log lines
}

const (
	minKeyBytes = 16
	hashBytes   = 8
	keyContext  = "irispost 2026 redaction of captures"
)

// ErrSnapshotNotRedactable reports a capture that holds a snapshot of the scheduler, whose names cannot be replaced.
var ErrSnapshotNotRedactable = errors.New("the capture contains a scheduler snapshot, whose names cannot be replaced")

// NewRedactor returns a redactor with a key of at least 16 bytes.
func NewRedactor(key []byte) (*Redactor, error) {
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("the key has %d bytes, at least %d are required", len(key), minKeyBytes)
	}
	r := &Redactor{hashes: map[string]string{}}
	blake3.DeriveKey(keyContext, key, r.key[:])
	return r, nil
}

// replaceName replaces a name by its hash, unless it is empty.
func (r *Redactor) replaceName(name *string) {
	if *name == "" {
		return
	}
	hash, seen := r.hashes[*name]
	if !seen {
		hash = r.hash(*name)
		r.hashes[*name] = hash
		r.insertName(*name)
	}
	*name = hash
}

func (r *Redactor) hash(name string) string {
	digest, _ := blake3.NewKeyed(r.key[:]) // fails only if the key is not 32 bytes long
	_, _ = digest.Write([]byte(name))      // Write of a hash never fails
	return "x" + hex.EncodeToString(digest.Sum(nil)[:hashBytes])
}

// insertName inserts a name after those that are at least as long.
func (r *Redactor) insertName(name string) {
	at := 0
	for at < len(r.names) && len(r.names[at]) >= len(name) {
		at++
	}
	r.names = slices.Insert(r.names, at, name)
}

// replaceInRequest replaces the gateway's name in a request ID. All IDs of a gateway start with its name, so their
// order is preserved.
func (r *Redactor) replaceInRequest(request *string) {
	if rest, ok := strings.CutPrefix(*request, r.gateway); ok && r.gateway != "" {
		*request = r.hashes[r.gateway] + rest
	}
}

// RedactRecord replaces the names in a record in place. Records must be passed in capture order, the header first.
func (r *Redactor) RedactRecord(record *Record) {
	switch record.Kind {
	case KindHeader:
		r.gateway = record.Name
		r.replaceName(&record.Name)
	case KindStart, KindSettingsChanged:
		record.Terms = r.settings(record.Terms)
	case KindEndpointList, KindEndpointUpdate:
		for i := range record.Nodes {
			r.replaceName(&record.Nodes[i].Addr)
			r.replaceName(&record.Nodes[i].Zone)
		}
	case KindAllocated:
		r.replaceName(&record.Node)
	case KindSubmitted:
		r.replaceName(&record.Plan)
		r.replaceName(&record.Product)
	case KindDecided:
		r.decision(&record.Decision)
	}
	r.replaceInRequest(&record.Job)
}

// settings returns a copy of settings with the names of service levels and request classes replaced.
func (r *Redactor) settings(settings scheduler.Settings) scheduler.Settings {
	redacted := scheduler.Settings{}
	for key, value := range settings {
		if strings.HasSuffix(key, ".name") {
			r.replaceName(&value)
		}
		redacted[key] = value
	}
	return redacted
}

func (r *Redactor) decision(d *Decision) {
	for i := range d.Ended {
		r.replaceInRequest(&d.Ended[i].Job)
	}
	for _, attempts := range [][]Attempt{d.CallOff, d.Sent} {
		for i := range attempts {
			r.replaceInRequest(&attempts[i].Job)
			r.replaceName(&attempts[i].Node)
		}
	}
	for i := range d.Log {
		for _, name := range r.names {
			d.Log[i] = strings.ReplaceAll(d.Log[i], name, r.hashes[name])
		}
	}
}

// Redact copies a capture with its names replaced. If the capture is truncated or corrupt, the records before that
// point are copied, and the reader's error is returned.
func Redact(in *Reader, out io.Writer, key []byte) error {
	redactor, err := NewRedactor(key)
	if err != nil {
		return err
	}
	writer, err := newSyncWriter(out)
	if err != nil {
		return err
	}
	for {
		record, readErr := in.Next()
		if readErr != nil {
			if err := writer.flush(); err != nil {
				return err
			}
			if errors.Is(readErr, io.EOF) {
				return nil
			}
			return readErr
		}
		if record.Kind == KindSnapshot {
			return ErrSnapshotNotRedactable
		}
		redactor.RedactRecord(record)
		if err := writer.add(record); err != nil {
			return err
		}
	}
}
