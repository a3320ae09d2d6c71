package day

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
)

// blockSize is the size of a block in bytes. A client fills each block with repetitions of one random word. A block
// with different words is torn: no client wrote it.
const blockSize = 4096

const wordSize = 8

// randomBlocks returns data in which each block repeats one random word.
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

// untorn reports whether each block of the data repeats one word.
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
