package capture

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/blake3"

	"irispost/scheduler"
)

// Redactor replaces names by keyed hashes (BLAKE3): addresses and zones of nodes, plans, products, and the gateway. The
// same name gets the same hash under one key, so a replay decides the same. Jobs' names stay: ties are ordered by them,
// and they hold only the gateway's name, which is replaced in them, and numbers.
type Redactor struct {
	key     [32]byte
	gateway string
	known   map[string]string
	order   []string // names in log lines, the longest first
}

// NewRedactor makes a redactor with a key of any length.
func NewRedactor(key []byte) (*Redactor, error) {
	if len(key) < 16 {
		return nil, fmt.Errorf("the key has %d bytes, 16 are needed", len(key))
	}
	r := &Redactor{known: map[string]string{}}
	blake3.DeriveKey("irispost 2026 redaction of captures", key, r.key[:])
	return r, nil
}

// name is what stands for a name.
func (r *Redactor) name(s *string) {
	if *s == "" {
		return
	}
	h, seen := r.known[*s]
	if !seen {
		k, _ := blake3.NewKeyed(r.key[:]) // fails only for a key of another length
		_, _ = k.Write([]byte(*s))        // a hash takes all
		h = "x" + hex.EncodeToString(k.Sum(nil)[:8])
		r.known[*s] = h
		at := 0
		for at < len(r.order) && len(r.order[at]) >= len(*s) {
			at++
		}
		r.order = append(r.order[:at], append([]string{*s}, r.order[at:]...)...)
	}
	*s = h
}

// job replaces the gateway's name in a job's. All jobs of a gateway begin alike, so their order stays.
func (r *Redactor) job(s *string) {
	if rest, ok := strings.CutPrefix(*s, r.gateway); ok && r.gateway != "" {
		*s = r.known[r.gateway] + rest
	}
}

// Record replaces a record's names in place.
func (r *Redactor) Record(rec *Record) {
	switch rec.Kind {
	case Header:
		r.gateway = rec.Name
		r.name(&rec.Name)
	case Start, Agreed:
		t := scheduler.Settings{}
		for key, v := range rec.Terms {
			if strings.HasSuffix(key, ".name") {
				r.name(&v)
			}
			t[key] = v
		}
		rec.Terms = t
	case Listed, ListedPart:
		for i := range rec.Nodes {
			r.name(&rec.Nodes[i].Addr)
			r.name(&rec.Nodes[i].Zone)
		}
	case Lent:
		r.name(&rec.Node)
	case Take:
		r.name(&rec.Plan)
		r.name(&rec.Product)
	case Decided:
		d := &rec.Decision
		for i := range d.Ended {
			r.job(&d.Ended[i].Job)
		}
		for _, list := range [][]Execution{d.CallOff, d.Sent} {
			for i := range list {
				r.job(&list[i].Job)
				r.name(&list[i].Node)
			}
		}
		for i := range d.Log {
			for _, name := range r.order {
				d.Log[i] = strings.ReplaceAll(d.Log[i], name, r.known[name])
			}
		}
	}
	r.job(&rec.Job)
}

// Redact copies a capture with its names replaced. What it could not read to its end is copied as far as it goes, and
// told.
func Redact(in *Reader, out io.Writer, key []byte) error {
	r, err := NewRedactor(key)
	if err != nil {
		return err
	}
	w, err := newWriter(out)
	if err != nil {
		return err
	}
	for {
		rec, stopped := in.Next()
		if stopped != nil {
			if err := w.flush(); err != nil {
				return err
			}
			if errors.Is(stopped, io.EOF) {
				return nil
			}
			return stopped
		}
		if rec.Kind == State {
			return errors.New("the capture holds a state, which has names that cannot be replaced")
		}
		r.Record(rec)
		if err := w.add(rec); err != nil {
			return err
		}
	}
}

// writer writes a capture that waits for its disk.
type writer struct {
	out  io.Writer
	pack *zstd.Encoder
	open block
}

func newWriter(out io.Writer) (*writer, error) {
	pack, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(out, magic)
	return &writer{out: out, pack: pack}, err
}

func (w *writer) add(rec *Record) error {
	if w.open.count == 0 {
		w.open.first = rec.At
	}
	w.open.raw = appendRecord(w.open.raw, rec)
	w.open.count++
	if len(w.open.raw) < DefaultLimits.BlockBytes {
		return nil
	}
	return w.flush()
}

func (w *writer) flush() error {
	if w.open.count == 0 {
		return nil
	}
	_, err := w.out.Write(packBlock(w.pack, w.open, nil))
	w.open = block{raw: w.open.raw[:0]}
	return err
}
