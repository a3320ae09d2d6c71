package capture

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"irispost/scheduler"
)

// A capture is its magic with the version, then blocks. A block is its head and a zstd frame of records. The head has
// the block's lengths raw and packed, the time of its first record, its number of records, and a checksum of all that
// and the frame.
const (
	magic     = "IRISCAP1"
	magicName = "IRISCAP"

	blockPackedAt   = 4
	blockTimeAt     = blockPackedAt + 4
	blockCountAt    = blockTimeAt + 8
	blockChecksumAt = blockCountAt + 4
	blockHeadBytes  = blockChecksumAt + 8

	// maxBlockBytes bounds the raw length that a reader accepts.
	maxBlockBytes = 64 << 20
)

// block is a number of records that are packed together.
type block struct {
	raw   []byte
	first scheduler.Time // of its first record
	count int            // of its records
}

// blockOf is a block of one record.
func blockOf(record *Record, at scheduler.Time) block { return block{appendRecord(nil, record), at, 1} }

// packBlock writes a block with its head into the capacity of a buffer.
func packBlock(packer *zstd.Encoder, b block, buffer []byte) []byte {
	var head [blockHeadBytes]byte
	out := packer.EncodeAll(b.raw, append(buffer[:0], head[:]...))
	binary.BigEndian.PutUint32(out, uint32(len(b.raw)))
	binary.BigEndian.PutUint32(out[blockPackedAt:], uint32(len(out)-blockHeadBytes))
	binary.BigEndian.PutUint64(out[blockTimeAt:], uint64(b.first))
	binary.BigEndian.PutUint32(out[blockCountAt:], uint32(b.count))
	binary.BigEndian.PutUint64(out[blockChecksumAt:], checksum(out[:blockChecksumAt], out[blockHeadBytes:]))
	return out
}

// checksum is that of a block's head and frame.
func checksum(head, frame []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(head) // a digest takes all
	_, _ = digest.Write(frame)
	return digest.Sum64()
}
