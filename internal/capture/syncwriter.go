package capture

import (
	"io"

	"github.com/klauspost/compress/zstd"
)

// syncWriter writes a capture synchronously: it waits for the disk, where a Recorder drops records.
type syncWriter struct {
	out     io.Writer
	encoder *zstd.Encoder
	pending block
}

func newSyncWriter(out io.Writer) (*syncWriter, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(out, magic)
	return &syncWriter{out: out, encoder: encoder}, err
}

func (w *syncWriter) add(record *Record) error {
	if w.pending.count == 0 {
		w.pending.firstAt = record.At
	}
	w.pending.raw = appendRecord(w.pending.raw, record)
	w.pending.count++
	if len(w.pending.raw) < DefaultLimits.BlockBytes {
		return nil
	}
	return w.flush()
}

// flush writes the pending block, if it has any records.
func (w *syncWriter) flush() error {
	if w.pending.count == 0 {
		return nil
	}
	_, err := w.out.Write(encodeBlock(w.encoder, w.pending, nil))
	w.pending = block{raw: w.pending.raw[:0]}
	return err
}
