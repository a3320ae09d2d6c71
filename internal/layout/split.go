package layout

// Piece is the part of a read or write that lies in one extent.
type Piece struct {
	ExtentIndex  int
	ExtentOffset uint64 // of the first byte in the extent
	DataOffset   int    // of the first byte in the data that is read or written
	Length       int    // bytes
}

// SplitByExtent splits the length bytes at offset in a file into pieces, in ascending order.
func SplitByExtent(offset uint64, length int, extentSize uint32) (pieces []Piece) {
	for done := 0; done < length; {
		position := offset + uint64(done)
		extentOffset := position % uint64(extentSize)
		size := min(length-done, int(uint64(extentSize)-extentOffset))
		pieces = append(pieces, Piece{
			ExtentIndex:  int(position / uint64(extentSize)),
			ExtentOffset: extentOffset,
			DataOffset:   done,
			Length:       size,
		})
		done += size
	}
	return pieces
}
