// Package delta encodes contents for the network and the disk: as a delta from a base that the other side
// has, in the format of RFC 9842 (Dictionary-Compressed Zstandard), or complete, as a Zstandard frame.
//
// Package lease encodes log entries and snapshots by it, and packages replica, content and client what is
// sent between replicas and gateways. The package is pure. It does not vouch for what it decodes: callers
// check its digest.
package delta

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// magic begins a delta. The SHA-256 digest of its base follows, and then a Zstandard frame.
var magic = []byte{0x5e, 0x2a, 0x4d, 0x18, 0x20, 0, 0, 0}

const (
	magicBytes  = 8
	headerBytes = magicBytes + sha256.Size

	// minWindowBytes is the smallest window of a frame, as it costs little and small contents are common.
	minWindowBytes = 1 << 17

	prefixBytesInError = 8 // of what is not a delta, in an error
	digestBytesInError = 6 // of a digest, in an error
)

// What is wrong with data that cannot be decoded.
var (
	ErrFormat       = errors.New("this is not of the form that it is said to have")
	ErrWrongBase    = errors.New("it was made from another base")
	ErrTruncated    = errors.New("it is cut off")
	ErrTrailingData = errors.New("something follows after its end")
	ErrTooLarge     = errors.New("it unpacks to more than is taken")
	ErrCorrupt      = errors.New("it does not unpack")
)

// BaseHash returns the SHA-256 digest by which a base is named to the other side.
func BaseHash(base []byte) [sha256.Size]byte { return sha256.Sum256(base) }

// Encode encodes a content as a delta from a base, or complete if the base is empty.
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
		return nil, fmt.Errorf("a content of %d bytes cannot be encoded: %w", len(content), err)
	}
	encoded = encoder.EncodeAll(content, encoded)
	if err := encoder.Close(); err != nil {
		return nil, fmt.Errorf("a content of %d bytes cannot be encoded: %w", len(content), err)
	}
	return encoded, nil
}

// windowFor returns the size of a window that reaches over so many bytes, as far as the format allows.
func windowFor(size int) int {
	return min(max(1<<bits.Len(uint(size)), minWindowBytes), zstd.MaxWindowSize)
}

// Decode decodes what Encode has encoded with the same base, up to maxBytes of content. Data that is plainly
// wrong is not decoded at all, and never much more than twice maxBytes and the base.
func Decode(base, encoded []byte, maxBytes int) ([]byte, error) {
	// The largest window that Encode uses. The decoder takes one bound for the window and the memory.
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
		return nil, fmt.Errorf("more than %d bytes: %w", maxBytes, ErrTooLarge)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return content, nil
}

// cutHeader checks that data is a delta from base, or complete if the base is empty, and returns the frame in it.
func stripHeader(base, encoded []byte) ([]byte, error) {
	isDelta := bytes.HasPrefix(encoded, magic)
	if len(base) == 0 {
		if isDelta {
			return nil, fmt.Errorf("a delta, where there is no base: %w", ErrWrongBase)
		}
		return encoded, nil
	}
	if len(encoded) < headerBytes && bytes.HasPrefix(magic, encoded[:min(len(encoded), magicBytes)]) {
		return nil, fmt.Errorf("a delta of %d bytes: %w", len(encoded), ErrTruncated)
	}
	if !isDelta {
		return nil, fmt.Errorf("a delta that begins with % x: %w", encoded[:min(len(encoded), prefixBytesInError)], ErrFormat)
	}
	want := BaseHash(base)
	if hash := encoded[magicBytes:headerBytes]; !bytes.Equal(hash, want[:]) {
		return nil, fmt.Errorf("a delta from %x, where the base is %x: %w",
			hash[:digestBytesInError], want[:digestBytesInError], ErrWrongBase)
	}
	return encoded[headerBytes:], nil
}
