package layout

// Piece is the part of a read or write that lies in one extent.
type Piece struct {
	ExtentIndex  int
	ExtentOffset uint64 // of its first byte in the extent
	DataOffset   int    // of its first byte in the data that is read or written
	Length       int    // bytes
}

// SplitByExtent splits the length bytes of a file from offset on into pieces, in their order.
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
