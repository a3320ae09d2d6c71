package capture

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
)

// Reader reads a capture one block at a time, so that the capture may be larger than memory. It is not safe for
// concurrent use.
type Reader struct {
	in          *bufio.Reader
	decoder     *zstd.Decoder
	remaining   []byte // undecoded records of the current block
	offset      int64  // of the next block
	recordsRead int64  // returned so far
	endReason   string // from the End record; empty: not reached yet
	headerRead  bool   // the first record was a header
}

// ErrTruncated reports a capture without an End record. All records returned before it are complete.
var ErrTruncated = errors.New("the capture is truncated")

// readBufferBytes is the size of the read buffer.
const readBufferBytes = 1 << 20

// NewReader returns a reader of a capture. It returns an error for other files and other versions of the format.
func NewReader(in io.Reader) (*Reader, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockBytes))
	if err != nil {
		return nil, err
	}
	r := &Reader{in: bufio.NewReaderSize(in, readBufferBytes), decoder: decoder}
	fileMagic := make([]byte, len(magic))
	if _, err := io.ReadFull(r.in, fileMagic); err != nil {
		return nil, fmt.Errorf("%w before its first block", ErrTruncated)
	}
	if string(fileMagic[:len(magicPrefix)]) != magicPrefix {
		return nil, errors.New("the file is not a capture")
	}
	if string(fileMagic) != magic {
		return nil, fmt.Errorf("the capture has format version %q, this build reads version %q",
			fileMagic[len(magicPrefix):], magic[len(magicPrefix):])
	}
	r.offset = int64(len(magic))
	return r, nil
}

// Next returns the next record, or io.EOF after the End record. If the capture stops earlier, the error wraps
// ErrTruncated or ErrCorrupt and gives the position.
func (r *Reader) Next() (*Record, error) {
	for len(r.remaining) == 0 {
		if err := r.readBlock(); err != nil {
			return nil, err
		}
	}
	record, rest, err := nextRecord(r.remaining)
	if err != nil {
		return nil, r.withPosition(err)
	}
	if !r.headerRead && record.Kind != KindHeader {
		return nil, r.withPosition(fmt.Errorf("%w: the first record is of kind %v, not a header", ErrCorrupt, record.Kind))
	}
	r.headerRead = true
	r.remaining = rest
	r.recordsRead++
	if record.Kind == KindEnd {
		r.endReason = record.Name
	}
	return record, nil
}

// withPosition adds to an error how far the capture was read.
func (r *Reader) withPosition(err error) error {
	return fmt.Errorf("%w (after %d complete records, in the block at byte %d)", err, r.recordsRead, r.offset)
}

// readBlock reads and decompresses the next block.
func (r *Reader) readBlock() error {
	header := make([]byte, blockHeaderBytes)
	n, err := io.ReadFull(r.in, header)
	switch {
	case errors.Is(err, io.EOF) && r.endReason != "":
		return io.EOF
	case err != nil && n == 0:
		return r.withPosition(ErrTruncated)
	case err != nil:
		return r.withPosition(fmt.Errorf("%w in the header of a block", ErrTruncated))
	}
	raw, compressed := binary.BigEndian.Uint32(header), binary.BigEndian.Uint32(header[blockCompressedOffset:])
	if raw > maxBlockBytes || compressed > maxBlockBytes {
		return r.withPosition(fmt.Errorf("%w: a block of %d bytes is too large", ErrCorrupt, raw))
	}
	frame := make([]byte, compressed)
	if _, err := io.ReadFull(r.in, frame); err != nil {
		return r.withPosition(fmt.Errorf("%w in a block", ErrTruncated))
	}
	if checksum(header[:blockChecksumOffset], frame) != binary.BigEndian.Uint64(header[blockChecksumOffset:]) {
		return r.withPosition(fmt.Errorf("%w: the checksum of a block does not match", ErrCorrupt))
	}
	records, err := r.decoder.DecodeAll(frame, make([]byte, 0, raw))
	if err != nil {
		return r.withPosition(fmt.Errorf("%w: a block cannot be decompressed: %w", ErrCorrupt, err))
	}
	if len(records) != int(raw) {
		return r.withPosition(fmt.Errorf("%w: a block has %d bytes decompressed, %d according to its header",
			ErrCorrupt, len(records), raw))
	}
	r.remaining = records
	r.offset += int64(blockHeaderBytes) + int64(compressed)
	return nil
}
