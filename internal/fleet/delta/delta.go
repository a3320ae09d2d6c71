// Package delta encodes version contents for the network and the disk: either as a delta from a base that the
// receiver has, in the format of RFC 9842 (Dictionary-Compressed Zstandard), or complete, as a Zstandard frame.
//
// Package lease uses it for log entries and snapshots, and packages replica, content and client use it for what is
// sent between replicas and gateways. The package is pure: it has no I/O, clock or randomness. It does not
// authenticate what it decodes; callers must check the digest of the result.
package delta

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// magic is the first part of a delta. The SHA-256 of the base follows, and then a Zstandard frame.
var magic = []byte{0x5e, 0x2a, 0x4d, 0x18, 0x20, 0, 0, 0}

const (
	magicBytes  = 8
	headerBytes = magicBytes + sha256.Size

	// minWindowBytes is the smallest window that is used. It costs little memory and covers common, small contents.
	minWindowBytes = 1 << 17

	prefixBytesInError = 8 // leading bytes of unexpected data that an error shows
	digestBytesInError = 6 // leading bytes of a digest that an error shows
)

// Reasons why data cannot be decoded.
var (
	ErrFormat       = errors.New("unexpected format")
	ErrWrongBase    = errors.New("wrong base")
	ErrTruncated    = errors.New("truncated data")
	ErrTrailingData = errors.New("trailing data")
	ErrTooLarge     = errors.New("content too large")
	ErrCorrupt      = errors.New("corrupt data")
)

// BaseHash returns the SHA-256 that identifies a base to the other side.
func BaseHash(base []byte) [sha256.Size]byte { return sha256.Sum256(base) }

// Encode encodes a content as a delta from base, or complete if base is empty.
func Encode(base, content []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderCRC(false),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowFor(len(base) + len(content))),
	}
	var encoded []byte
	if len(base) > 0 {
		hash := BaseHash(base)
		encoded = append(encoded, magic...)
		encoded = append(encoded, hash[:]...)
		options = append(options, zstd.WithEncoderDictRaw(0, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("create encoder for a content of %d bytes: %w", len(content), err)
	}
	encoded = encoder.EncodeAll(content, encoded)
	if err := encoder.Close(); err != nil {
		return nil, fmt.Errorf("encode a content of %d bytes: %w", len(content), err)
	}
	return encoded, nil
}

// windowFor returns the size of a window that covers size bytes, up to the maximum that the library supports.
func windowFor(size int) int {
	return min(max(1<<bits.Len(uint(size)), minWindowBytes), zstd.MaxWindowSize)
}

// Decode decodes data that Encode has encoded with the same base, into at most maxBytes of content. Data that is
// invalid according to its headers is not decompressed at all. Other data is never decompressed to much more than
// twice the sum of maxBytes and the size of the base.
func Decode(base, encoded []byte, maxBytes int) ([]byte, error) {
	// This is the largest window that Encode can have used. The same bound is set for the decoder's window and memory.
	window := uint64(windowFor(len(base) + maxBytes))
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(window),
		zstd.WithDecoderMaxWindow(window),
	}
	frame, err := stripHeader(base, encoded)
	if err != nil {
		return nil, err
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(0, base))
	}
	if err := checkSingleFrame(frame, maxBytes); err != nil {
		return nil, err
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(frame, nil)
	tooLarge := errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded)
	switch {
	case tooLarge, err == nil && len(content) > maxBytes:
		return nil, fmt.Errorf("decoded content exceeds %d bytes: %w", maxBytes, ErrTooLarge)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return content, nil
}

// stripHeader returns the Zstandard frame of encoded data. It checks that the data is a delta from base, or that it is
// not a delta if base is empty.
func stripHeader(base, encoded []byte) ([]byte, error) {
	isDelta := bytes.HasPrefix(encoded, magic)
	if len(base) == 0 {
		if isDelta {
			return nil, fmt.Errorf("delta for which no base is given: %w", ErrWrongBase)
		}
		return encoded, nil
	}
	if len(encoded) < headerBytes && bytes.HasPrefix(magic, encoded[:min(len(encoded), magicBytes)]) {
		return nil, fmt.Errorf("delta of %d bytes: %w", len(encoded), ErrTruncated)
	}
	if !isDelta {
		return nil, fmt.Errorf("delta begins with % x: %w", encoded[:min(len(encoded), prefixBytesInError)], ErrFormat)
	}
	want := BaseHash(base)
	if hash := encoded[magicBytes:headerBytes]; !bytes.Equal(hash, want[:]) {
		return nil, fmt.Errorf("delta from base %x, want %x: %w",
			hash[:digestBytesInError], want[:digestBytesInError], ErrWrongBase)
	}
	return encoded[headerBytes:], nil
}
