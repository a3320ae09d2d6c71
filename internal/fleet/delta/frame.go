package delta

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// Parts of a frame (RFC 8878, section 3.1.1).
const (
	frameMagicBytes  = 4
	blockHeaderBytes = 3
	checksumBytes    = 4
	blockTypeRLE     = 1 // one byte that is repeated
)

// checkSingleFrame checks that data is one complete frame of at most maxBytes of content, as far as it says,
// and that nothing follows: the decoder would go on with whatever follows, or skip it.
func checkSingleFrame(data []byte, maxBytes int) error {
	header, err := decodeFrameHeader(data, maxBytes)
	if err != nil {
		return err
	}
	rest, err := skipBlocks(data[header.HeaderSize:])
	if err == nil && header.HasCheckSum {
		rest, err = skip(rest, checksumBytes)
	}
	if err != nil {
		return fmt.Errorf("a frame of %d bytes: %w", len(data), err)
	}
	if len(rest) > 0 {
		return fmt.Errorf("%d bytes after a frame of %d: %w", len(rest), len(data)-len(rest), ErrTrailingData)
	}
	return nil
}

// decodeFrameHeader reads the header of a frame of at most maxBytes of content, as far as it says.
func decodeFrameHeader(data []byte, maxBytes int) (zstd.Header, error) {
	var header zstd.Header
	err := header.Decode(data)
	switch {
	case errors.Is(err, zstd.ErrMagicMismatch):
		err = fmt.Errorf("a frame that begins with % x: %w", data[:min(len(data), frameMagicBytes)], ErrFormat)
	case err != nil && len(data) < zstd.HeaderMaxSize:
		err = fmt.Errorf("a frame of %d bytes: %w", len(data), ErrTruncated)
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrCorrupt, err)
	case header.Skippable:
		err = fmt.Errorf("a frame that is to be skipped: %w", ErrFormat)
	case header.HasFCS && header.FrameContentSize > uint64(maxBytes):
		err = fmt.Errorf("%d bytes, where %d are taken: %w", header.FrameContentSize, maxBytes, ErrTooLarge)
	}
	return header, err
}

// skipBlocks returns what follows after the last block of a frame.
func skipBlocks(rest []byte) ([]byte, error) {
	for {
		if len(rest) < blockHeaderBytes {
			return nil, ErrTruncated
		}
		blockHeader := binary.LittleEndian.Uint32(append(bytes.Clone(rest[:blockHeaderBytes]), 0))
		last := blockHeader&1 == 1
		size := int(blockHeader >> 3)
		if blockHeader>>1&3 == blockTypeRLE {
			size = 1
		}
		var err error
		if rest, err = skip(rest, blockHeaderBytes+size); err != nil || last {
			return rest, err
		}
	}
}

// skip drops bytes off the front.
func skip(rest []byte, size int) ([]byte, error) {
	if len(rest) < size {
		return nil, ErrTruncated
	}
	return rest[size:], nil
}
