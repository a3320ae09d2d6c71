package capture

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/klauspost/compress/zstd"
)

// fileWriter compresses a recorder's blocks and writes them to its files. A write error ends the capture but does not
// affect the gateway: the blocks that follow are dropped and counted.
type fileWriter struct {
	recorder *Recorder
	openNext fileOpener
	encoder  *zstd.Encoder
	size     int64 // bytes of the current file
	openedAt time.Time
}

// run writes blocks until the recorder is closed.
func (w *fileWriter) run(out io.WriteCloser) {
	r := w.recorder
	defer close(r.done)
	var err error
	// The zstd checksum is off, as each block has its own. Without entropy coding, compression takes half the time, and
	// the output is a third larger.
	w.encoder, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithNoEntropyCompression(true), zstd.WithEncoderCRC(false))
	if err == nil {
		_, err = io.WriteString(out, magic)
		w.size = int64(len(magic))
		r.written.Store(w.size)
	}
	var frame []byte
	w.openedAt = time.Now()
	for b := range r.blocks {
		if err == nil {
			frame = encodeBlock(w.encoder, b, frame)
			out, err = w.rotateIfNeeded(out, b, len(frame))
		}
		if err != nil {
			r.dropped.Add(int64(b.count))
			continue
		}
		_, err = out.Write(frame)
		w.size += int64(len(frame))
		r.written.Add(int64(len(frame)))
		select {
		case r.freeBuffers <- b.raw[:0]:
		default:
		}
	}
	r.err = errors.Join(err, out.Close())
}

// rotateIfNeeded returns the file to which a block of the given size is written: the current one, or the next if the
// current one is full or too old. If there is no next file, the capture ends.
func (w *fileWriter) rotateIfNeeded(out io.WriteCloser, b block, bytes int) (io.WriteCloser, error) {
	limits := &w.recorder.limits
	full := w.size+int64(bytes) > limits.FileBytes
	old := limits.FileAge > 0 && w.openNext != nil && time.Since(w.openedAt) > limits.FileAge
	if !full && !old {
		return out, nil
	}
	reason := "this file is full or old, the capture goes on in the next"
	if w.openNext == nil {
		reason = fmt.Sprintf("it has reached %d bytes, the most that it may have", limits.FileBytes)
	}
	end := singleRecordBlock(&Record{Kind: KindEnd, At: b.firstAt, Name: reason}, b.firstAt)
	_, _ = out.Write(encodeBlock(w.encoder, end, nil)) // if it fails, readers report a truncated file
	if w.openNext == nil {
		return out, errors.New(reason)
	}
	out, err := w.rotate(out)
	w.openedAt = time.Now()
	return out, err
}

// rotate closes a file and starts the next one. A replay of the new file needs a snapshot of the scheduler.
func (w *fileWriter) rotate(current io.WriteCloser) (io.WriteCloser, error) {
	if err := current.Close(); err != nil {
		return current, err
	}
	out, err := w.openNext()
	if err != nil {
		return current, err
	}
	header := encodeBlock(w.encoder, singleRecordBlock(&w.recorder.header, 0), nil)
	if _, err := out.Write(append([]byte(magic), header...)); err != nil {
		return out, err
	}
	w.size = int64(len(magic) + len(header))
	w.recorder.written.Add(w.size)
	w.recorder.needsSnapshot.Store(true)
	return out, nil
}
