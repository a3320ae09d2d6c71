package capture

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/klauspost/compress/zstd"
)

// fileWriter packs a recorder's blocks and writes them to its files. What cannot be written ends the capture, not the
// gateway: the blocks that follow are dropped and counted.
type fileWriter struct {
	recorder *Recorder
	next     openFile
	packer   *zstd.Encoder
	size     int64 // bytes of the present file
	opened   time.Time
}

// run writes until the recorder is closed.
func (w *fileWriter) run(out io.WriteCloser) {
	r := w.recorder
	defer close(r.done)
	var err error
	// A block has a checksum of its own. Without entropy coding it takes half the time, for a third more bytes.
	w.packer, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithNoEntropyCompression(true), zstd.WithEncoderCRC(false))
	if err == nil {
		_, err = io.WriteString(out, magic)
		w.size = int64(len(magic))
		r.written.Store(w.size)
	}
	var frame []byte
	w.opened = time.Now()
	for b := range r.blocks {
		if err == nil {
			frame = packBlock(w.packer, b, frame)
			out, err = w.makeRoom(out, b, len(frame))
		}
		if err != nil {
			r.dropped.Add(int64(b.count))
			continue
		}
		_, err = out.Write(frame)
		w.size += int64(len(frame))
		r.written.Add(int64(len(frame)))
		select {
		case r.spare <- b.raw[:0]:
		default:
		}
	}
	r.err = errors.Join(err, out.Close())
}

// makeRoom closes a file that is full or old, and returns the next, into which a block of so many bytes goes. Where
// there is no next, the capture ends.
func (w *fileWriter) makeRoom(out io.WriteCloser, b block, bytes int) (io.WriteCloser, error) {
	limits := &w.recorder.limits
	full := w.size+int64(bytes) > limits.FileBytes
	old := limits.FileAge > 0 && w.next != nil && time.Since(w.opened) > limits.FileAge
	if !full && !old {
		return out, nil
	}
	reason := "this file is full or old, the capture goes on in the next"
	if w.next == nil {
		reason = fmt.Sprintf("it has reached %d bytes, the most that it may have", limits.FileBytes)
	}
	end := blockOf(&Record{Kind: KindEnd, At: b.first, Name: reason}, b.first)
	_, _ = out.Write(packBlock(w.packer, end, nil)) // a file without its End record is read as cut off
	if w.next == nil {
		return out, errors.New(reason)
	}
	out, err := w.rotate(out)
	w.opened = time.Now()
	return out, err
}

// rotate closes a file and begins the next, which needs a snapshot of the scheduler.
func (w *fileWriter) rotate(old io.WriteCloser) (io.WriteCloser, error) {
	if err := old.Close(); err != nil {
		return old, err
	}
	out, err := w.next()
	if err != nil {
		return old, err
	}
	header := packBlock(w.packer, blockOf(&w.recorder.header, 0), nil)
	if _, err := out.Write(append([]byte(magic), header...)); err != nil {
		return out, err
	}
	w.size = int64(len(magic) + len(header))
	w.recorder.written.Add(w.size)
	w.recorder.needsSnapshot.Store(true)
	return out, nil
}
