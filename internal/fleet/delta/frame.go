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
	blockTypeRLE     = 1 // one byte, repeated
)

// checkSingleFrame checks that data is one complete frame, that the frame declares at most maxBytes of content if it
// declares a size, and that nothing follows: the decoder would decode or skip whatever follows.
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
		return fmt.Errorf("frame of %d bytes: %w", len(data), err)
	}
	if len(rest) > 0 {
		return fmt.Errorf("%d bytes after a frame of %d bytes: %w", len(rest), len(data)-len(rest), ErrTrailingData)
	}
	return nil
}

// decodeFrameHeader decodes a frame's header. A declared content size of more than maxBytes is an error.
func decodeFrameHeader(data []byte, maxBytes int) (zstd.Header, error) {
	var header zstd.Header
	err := header.Decode(data)
	switch {
	case errors.Is(err, zstd.ErrMagicMismatch):
		err = fmt.Errorf("frame begins with % x: %w", data[:min(len(data), frameMagicBytes)], ErrFormat)
	case err != nil && len(data) < zstd.HeaderMaxSize:
		err = fmt.Errorf("frame of %d bytes: %w", len(data), ErrTruncated)
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrCorrupt, err)
	case header.Skippable:
		err = fmt.Errorf("skippable frame: %w", ErrFormat)
	case header.HasFCS && header.FrameContentSize > uint64(maxBytes):
		err = fmt.Errorf("frame declares %d bytes of content, at most %d are allowed: %w",
			header.FrameContentSize, maxBytes, ErrTooLarge)
	}
	return header, err
}

// skipBlocks returns the data after the last block of a frame.
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

// skip returns the data after the first size bytes.
func skip(rest []byte, size int) ([]byte, error) {
	if len(rest) < size {
		return nil, ErrTruncated
	}
	return rest[size:], nil
}
