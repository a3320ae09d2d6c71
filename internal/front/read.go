package front

import (
	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// readFile reads bytes. An object that is not found means that another gateway has replaced the file: its record is
// read again, once.
func (t *task) readFile(file *openFile, offset uint64, length int) ([]byte, *failure) {
	data, notFound, err := t.readOnce(file, offset, length)
	if err != nil || !notFound {
		return data, err
	}
	if err := file.reload(t); err != nil {
		return nil, err
	}
	data, notFound, err = t.readOnce(file, offset, length)
	if notFound && err == nil {
		return nil, rejection(0, "the file is being written anew")
	}
	return data, err
}

// readOnce reads bytes by the record as it is known. Holes read as zeros. notFound tells that an object of the record
// is gone.
func (t *task) readOnce(file *openFile, offset uint64, length int) (data []byte, notFound bool, err *failure) {
	size, extentSize := file.sizes()
	if offset >= size {
		return nil, false, failuref(sftp.EOF, "end of file")
	}
	length = int(min(uint64(length), size-offset))
	pieces := layout.SplitByExtent(offset, length, extentSize)
	results, err := t.submitReads(file, size, pieces)
	if err != nil {
		return nil, false, err
	}
	parts := make([][]byte, len(pieces))
	for i, result := range results {
		if result == nil {
			continue
		}
		// All are waited for, whatever the first says.
		reply, partErr := t.replyOf(<-result, node.GetObject)
		if err == nil {
			err = partErr
		}
		notFound = notFound || reply.Status == node.NotFound
		parts[i] = reply.Data
	}
	return joinParts(pieces, parts, length), notFound, err
}

// submitReads submits a read for each piece that lies in an object, and returns their results; those of holes are nil.
// All extents are known before the first is submitted, so that none is in flight when this fails.
func (t *task) submitReads(file *openFile, size uint64, pieces []layout.Piece) ([]<-chan gateway.Result, *failure) {
	class := file.volume.ClassOf(Read, file.path, size)
	extents := make([]layout.Extent, len(pieces))
	for i, piece := range pieces {
		extent, err := t.allocatedExtent(file, class, piece.ExtentIndex)
		if err != nil {
			return nil, err
		}
		extents[i] = extent
	}
	results := make([]<-chan gateway.Result, len(pieces))
	for i, piece := range pieces {
		if extents[i].Object == "" {
			continue
		}
		results[i] = t.submit(file.volume, class, t.front.options.Units.Of(piece.Length), 0, node.Call{
			Op:     node.GetObject,
			Name:   extents[i].Object,
			Offset: piece.ExtentOffset,
			Length: uint32(piece.Length),
			Shard:  extents[i].Shard,
		})
	}
	return results, nil
}

// joinParts joins what was read of each piece; what is missing of one reads as zeros. A single complete part is
// returned as it is, without a copy.
func joinParts(pieces []layout.Piece, parts [][]byte, length int) []byte {
	if len(pieces) == 0 {
		return nil
	}
	if len(pieces) == 1 && len(parts[0]) == length {
		return parts[0]
	}
	data := make([]byte, length)
	for i, piece := range pieces {
		copy(data[piece.DataOffset:piece.DataOffset+piece.Length], parts[i])
	}
	return data
}
