package capture

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
)

// Reader reads a capture, block by block: one that is longer than memory is no trouble.
type Reader struct {
	in      *bufio.Reader
	unpack  *zstd.Decoder
	rest    []byte
	offset  int64 // of the block that is read next
	records int64
	ended   string // of the End record
	begun   bool
}

// ErrCut tells that a capture stops without its end; what was read until then is whole.
var ErrCut = errors.New("the capture is cut off")

// NewReader reads a capture.
func NewReader(in io.Reader) (*Reader, error) {
	unpack, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(mostBlock))
	if err != nil {
		return nil, err
	}
	r := &Reader{in: bufio.NewReaderSize(in, 1<<20), unpack: unpack}
	head := make([]byte, len(magic))
	if _, err := io.ReadFull(r.in, head); err != nil {
		return nil, fmt.Errorf("%w before its first block", ErrCut)
	}
	if string(head[:len(magicName)]) != magicName {
		return nil, errors.New("this is no capture")
	}
	if string(head) != magic {
		return nil, fmt.Errorf("the capture has version %q, this build reads %q", head[len(magicName):], magic[len(magicName):])
	}
	r.offset = int64(len(magic))
	return r, nil
}

// Next reads the next record. The end is io.EOF; a capture that stops elsewhere is ErrCut or ErrDamaged, with the place.
func (r *Reader) Next() (*Record, error) {
	for len(r.rest) == 0 {
		if err := r.block(); err != nil {
			return nil, err
		}
	}
	rec, rest, err := nextRecord(r.rest)
	if err != nil {
		return nil, r.stopped(err)
	}
	if !r.begun && rec.Kind != Header {
		return nil, r.stopped(fmt.Errorf("%w: it begins with %v", ErrDamaged, rec.Kind))
	}
	r.begun, r.rest = true, rest
	r.records++
	if rec.Kind == End {
		r.ended = rec.Name
	}
	return rec, nil
}

func (r *Reader) stopped(err error) error {
	return fmt.Errorf("%w (after %d whole records, in the block at byte %d)", err, r.records, r.offset)
}

// block reads the next block.
func (r *Reader) block() error {
	head := make([]byte, blockHead)
	n, err := io.ReadFull(r.in, head)
	switch {
	case errors.Is(err, io.EOF) && r.ended != "":
		return io.EOF
	case err != nil && n == 0:
		return r.stopped(ErrCut)
	case err != nil:
		return r.stopped(fmt.Errorf("%w inside the head of a block", ErrCut))
	}
	raw, packed := binary.BigEndian.Uint32(head), binary.BigEndian.Uint32(head[4:])
	if raw > mostBlock || packed > mostBlock {
		return r.stopped(fmt.Errorf("%w: a block of %d bytes", ErrDamaged, raw))
	}
	body := make([]byte, packed)
	if _, err := io.ReadFull(r.in, body); err != nil {
		return r.stopped(fmt.Errorf("%w inside a block", ErrCut))
	}
	if sum(head[:20], body) != binary.BigEndian.Uint64(head[20:]) {
		return r.stopped(fmt.Errorf("%w: a block's checksum does not fit", ErrDamaged))
	}
	out, err := r.unpack.DecodeAll(body, make([]byte, 0, raw))
	if err != nil {
		return r.stopped(fmt.Errorf("%w: a block does not unpack: %w", ErrDamaged, err))
	}
	if len(out) != int(raw) {
		return r.stopped(fmt.Errorf("%w: a block unpacks to %d bytes, not to %d", ErrDamaged, len(out), raw))
	}
	r.rest = out
	r.offset += int64(blockHead) + int64(packed)
	return nil
}
