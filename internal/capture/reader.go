package capture

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
)

// Reader reads a capture, block by block, so that one may be longer than memory. One goroutine uses it.
type Reader struct {
	in       *bufio.Reader
	unpacker *zstd.Decoder
	rest     []byte // of the present block
	offset   int64  // of the block that is read next
	records  int64  // that were read
	ended    string // the reason of the End record; empty: there was none
	started  bool   // the header was read
}

// ErrTruncated reports a capture without an End record. All records returned before it are complete.
var ErrTruncated = errors.New("the capture is cut off")

// readBufferBytes is how much is read from a capture at a time.
const readBufferBytes = 1 << 20

// NewReader reads a capture from its start. One of another version of the format is an error.
func NewReader(in io.Reader) (*Reader, error) {
	unpacker, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockBytes))
	if err != nil {
		return nil, err
	}
	r := &Reader{in: bufio.NewReaderSize(in, readBufferBytes), unpacker: unpacker}
	head := make([]byte, len(magic))
	if _, err := io.ReadFull(r.in, head); err != nil {
		return nil, fmt.Errorf("%w before its first block", ErrTruncated)
	}
	if string(head[:len(magicName)]) != magicName {
		return nil, errors.New("this is no capture")
	}
	if string(head) != magic {
		return nil, fmt.Errorf("the capture has version %q, this build reads %q",
			head[len(magicName):], magic[len(magicName):])
	}
	r.offset = int64(len(magic))
	return r, nil
}

// Next returns the next record, or io.EOF after the End record. If the capture stops earlier, the error wraps
// ErrTruncated or ErrCorrupt and gives the position.
func (r *Reader) Next() (*Record, error) {
	for len(r.rest) == 0 {
		if err := r.block(); err != nil {
			return nil, err
		}
	}
	record, rest, err := nextRecord(r.rest)
	if err != nil {
		return nil, r.stopped(err)
	}
	if !r.started && record.Kind != KindHeader {
		return nil, r.stopped(fmt.Errorf("%w: it begins with %v", ErrCorrupt, record.Kind))
	}
	r.started = true
	r.rest = rest
	r.records++
	if record.Kind == KindEnd {
		r.ended = record.Name
	}
	return record, nil
}

// stopped adds to an error how far the capture was read.
func (r *Reader) stopped(err error) error {
	return fmt.Errorf("%w (after %d whole records, in the block at byte %d)", err, r.records, r.offset)
}

// block reads the next block.
func (r *Reader) block() error {
	head := make([]byte, blockHeadBytes)
	n, err := io.ReadFull(r.in, head)
	switch {
	case errors.Is(err, io.EOF) && r.ended != "":
		return io.EOF
	case err != nil && n == 0:
		return r.stopped(ErrTruncated)
	case err != nil:
		return r.stopped(fmt.Errorf("%w inside the head of a block", ErrTruncated))
	}
	raw, packed := binary.BigEndian.Uint32(head), binary.BigEndian.Uint32(head[blockPackedAt:])
	if raw > maxBlockBytes || packed > maxBlockBytes {
		return r.stopped(fmt.Errorf("%w: a block of %d bytes", ErrCorrupt, raw))
	}
	frame := make([]byte, packed)
	if _, err := io.ReadFull(r.in, frame); err != nil {
		return r.stopped(fmt.Errorf("%w inside a block", ErrTruncated))
	}
	if checksum(head[:blockChecksumAt], frame) != binary.BigEndian.Uint64(head[blockChecksumAt:]) {
		return r.stopped(fmt.Errorf("%w: a block's checksum does not fit", ErrCorrupt))
	}
	records, err := r.unpacker.DecodeAll(frame, make([]byte, 0, raw))
	if err != nil {
		return r.stopped(fmt.Errorf("%w: a block does not unpack: %w", ErrCorrupt, err))
	}
	if len(records) != int(raw) {
		return r.stopped(fmt.Errorf("%w: a block unpacks to %d bytes, not to %d", ErrCorrupt, len(records), raw))
	}
	r.rest = records
	r.offset += int64(blockHeadBytes) + int64(packed)
	return nil
}
