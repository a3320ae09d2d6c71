// Package delta writes contents for the way and for the disk: as a delta from a base that the other side holds, in the form of RFC 9842
// (Dictionary-Compressed Zstandard), or whole, as a zstd frame. It is pure. It does not vouch for what comes out: whoever takes it in
// checks the content's digest.
package delta

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// magic begins a delta; the SHA-256 of its base follows, then the frame.
var magic = []byte{0x5e, 0x2a, 0x4d, 0x18, 0x20, 0, 0, 0}

const head = 8 + sha256.Size

// What is wrong with what is decoded.
var (
	ErrFormat       = errors.New("this is not of the form that it is said to have")
	ErrWrongBase    = errors.New("it was made from another base")
	ErrTruncated    = errors.New("it is cut off")
	ErrTrailingData = errors.New("something follows after its end")
	ErrTooLarge     = errors.New("it unpacks to more than is taken")
	ErrCorrupt      = errors.New("it does not unpack")
)

// BaseHash is how a base is named to the other side: its SHA-256.
func BaseHash(base []byte) [sha256.Size]byte { return sha256.Sum256(base) }

// Encode writes a content as a delta from a base; without a base (nil or empty), whole.
func Encode(base, content []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window(len(base) + len(content)))}
	var out []byte
	if len(base) > 0 {
		sum := BaseHash(base)
		out = append(append(out, magic...), sum[:]...)
		options = append(options, zstd.WithEncoderDictRaw(0, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("a content of %d bytes cannot be encoded: %w", len(content), err)
	}
	defer e.Close()
	return e.EncodeAll(content, out), nil
}

// window is one that reaches over so many bytes, as far as there are such.
func window(size int) int {
	return min(max(1<<bits.Len(uint(size)), 1<<17), zstd.MaxWindowSize)
}

// Decode reads what Encode wrote with the same base, up to most bytes of content. Nothing is unpacked of what is plainly wrong, and never
// much more than twice most and the base.
func Decode(base, coded []byte, most int) ([]byte, error) {
	reach := uint64(window(len(base) + most)) // of the largest window that Encode makes; the decoder takes memory and window for one bound
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(reach), zstd.WithDecoderMaxWindow(reach)}
	if len(base) > 0 {
		switch sum := BaseHash(base); {
		case len(coded) < head && bytes.HasPrefix(magic, coded[:min(len(coded), len(magic))]):
			return nil, fmt.Errorf("a delta of %d bytes: %w", len(coded), ErrTruncated)
		case !bytes.HasPrefix(coded, magic):
			return nil, fmt.Errorf("a delta that begins with % x: %w", coded[:min(len(coded), 8)], ErrFormat)
		case !bytes.Equal(coded[len(magic):head], sum[:]):
			return nil, fmt.Errorf("a delta from %x, where the base is %x: %w", coded[len(magic):len(magic)+6], sum[:6], ErrWrongBase)
		}
		coded = coded[head:]
		options = append(options, zstd.WithDecoderDictRaw(0, base))
	} else if bytes.HasPrefix(coded, magic) {
		return nil, fmt.Errorf("a delta, where there is no base: %w", ErrWrongBase)
	}
	if err := oneFrame(coded, most); err != nil {
		return nil, err
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	content, err := d.DecodeAll(coded, nil)
	switch {
	case errors.Is(err, zstd.ErrDecoderSizeExceeded), errors.Is(err, zstd.ErrWindowSizeExceeded), err == nil && len(content) > most:
		return nil, fmt.Errorf("more than %d bytes: %w", most, ErrTooLarge)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return content, nil
}

// oneFrame checks that a coded content is one frame, whole, with nothing after it and of a size that is taken: a decoder would go on with
// whatever follows, or skip it.
func oneFrame(coded []byte, most int) error {
	var h zstd.Header
	switch err := h.Decode(coded); {
	case errors.Is(err, zstd.ErrMagicMismatch):
		return fmt.Errorf("a frame that begins with % x: %w", coded[:min(len(coded), 4)], ErrFormat)
	case err != nil && len(coded) < zstd.HeaderMaxSize:
		return fmt.Errorf("a frame of %d bytes: %w", len(coded), ErrTruncated)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	case h.Skippable:
		return fmt.Errorf("a frame that is to be skipped: %w", ErrFormat)
	case h.HasFCS && h.FrameContentSize > uint64(most):
		return fmt.Errorf("%d bytes, where %d are taken: %w", h.FrameContentSize, most, ErrTooLarge)
	}
	rest := coded[h.HeaderSize:]
	for last := false; !last; {
		if len(rest) < 3 {
			return fmt.Errorf("a frame of %d bytes: %w", len(coded), ErrTruncated)
		}
		block := binary.LittleEndian.Uint32(append(bytes.Clone(rest[:3]), 0))
		size := int(block >> 3)
		if block>>1&3 == 1 { // one byte that is repeated
			size = 1
		}
		if last = block&1 == 1; len(rest) < 3+size {
			return fmt.Errorf("a frame of %d bytes: %w", len(coded), ErrTruncated)
		}
		rest = rest[3+size:]
	}
	if h.HasCheckSum {
		if len(rest) < 4 {
			return fmt.Errorf("a frame of %d bytes: %w", len(coded), ErrTruncated)
		}
		rest = rest[4:]
	}
	if len(rest) > 0 {
		return fmt.Errorf("%d bytes after a frame of %d: %w", len(rest), len(coded)-len(rest), ErrTrailingData)
	}
	return nil
}
