package day

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
)

// blockSize is the size of a block, which repeats one word, so that a read of bytes that no client wrote is noticed.
const blockSize = 4096

const wordSize = 8

// randomBlocks makes data whose blocks each repeat one random word.
func randomBlocks(size int, random *rand.Rand) []byte {
	data := make([]byte, size)
	for start := 0; start < size; start += blockSize {
		word := random.Uint64() | 1
		for i := start; i < min(start+blockSize, size); i += wordSize {
			binary.LittleEndian.PutUint64(data[i:], word)
		}
	}
	return data
}

// untorn says whether each block repeats one word.
func untorn(data []byte) bool {
	for start := 0; start+wordSize <= len(data); start += blockSize {
		word := data[start : start+wordSize]
		for i := start; i+wordSize <= min(start+blockSize, len(data)); i += wordSize {
			if !bytes.Equal(word, data[i:i+wordSize]) {
				return false
			}
		}
	}
	return true
}
