package capture

import (
	"io"

	"github.com/klauspost/compress/zstd"
)

// syncWriter writes a capture and waits for its disk, where a Recorder drops what the disk does not take in time.
type syncWriter struct {
	out    io.Writer
	packer *zstd.Encoder
	open   block
}

func newSyncWriter(out io.Writer) (*syncWriter, error) {
	packer, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(out, magic)
	return &syncWriter{out: out, packer: packer}, err
}

func (w *syncWriter) add(record *Record) error {
	if w.open.count == 0 {
		w.open.first = record.At
	}
	w.open.raw = appendRecord(w.open.raw, record)
	w.open.count++
	if len(w.open.raw) < DefaultLimits.BlockBytes {
		return nil
	}
	return w.flush()
}

// flush writes the open block.
func (w *syncWriter) flush() error {
	if w.open.count == 0 {
		return nil
	}
	_, err := w.out.Write(packBlock(w.packer, w.open, nil))
	w.open = block{raw: w.open.raw[:0]}
	return err
}
