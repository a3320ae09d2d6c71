package front

import (
	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// readFile reads bytes. An object that is not found means that another gateway has replaced the file; readFile then
// reloads the record and retries once.
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

// readOnce reads bytes according to the known record. Holes read as zeros. notFound reports that an object of the
// record does not exist any more.
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
		// Wait for all results, even after a failure.
		reply, partErr := t.replyOf(<-result, node.GetObject)
		if err == nil {
			err = partErr
		}
		notFound = notFound || reply.Status == node.NotFound
		parts[i] = reply.Data
	}
	return joinParts(pieces, parts, length), notFound, err
}

// submitReads submits a read for each piece that is stored in an object and returns the result channels; those of
// holes are nil. It determines all extents before it submits the first read, so that no read is in flight if it
// fails.
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

// joinParts joins the bytes that were read for each piece; bytes that are missing from a part are zeros. A single
// complete part is returned without copying.
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
