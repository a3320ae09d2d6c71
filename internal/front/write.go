package front

import (
	"irispost/internal/backend/node"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

const (
	maxFileSize = 1 << 50 // bytes
	anyShard    = -1      // the scheduler chooses the shard of a new object
	// objectExists is the version in a write to an existing object: the node must not recreate the object if it was
	// deleted.
	objectExists = 1
)

// writeFile writes bytes. Pieces in different extents are written concurrently.
func (t *task) writeFile(file *openFile, offset uint64, data []byte) *failure {
	size, extentSize := file.sizes()
	end := offset + uint64(len(data))
	if end < offset || end > maxFileSize {
		return failuref(sftp.Failure, "a file ends at 2^50 bytes at most")
	}
	pieces := layout.SplitByExtent(offset, len(data), extentSize)
	class := file.volume.ClassOf(Write, file.path, max(size, end))
	if err := t.writePieces(file, class, pieces, data); err != nil {
		return err
	}
	file.lock.Lock()
	defer file.lock.Unlock()
	file.size = max(file.size, end)
	file.dirty = true
	return nil
}

// writePieces writes all pieces, the last one on the caller's goroutine. The failure it returns says whether any piece
// may have been written.
func (t *task) writePieces(file *openFile, class *RequestClass, pieces []layout.Piece, data []byte) *failure {
	results := make(chan *failure, len(pieces))
	last := len(pieces) - 1
	for i, piece := range pieces {
		part := data[piece.DataOffset : piece.DataOffset+piece.Length]
		if i == last {
			results <- t.writePiece(file, class, piece, part)
			break
		}
		go func() { results <- t.writePiece(file, class, piece, part) }()
	}
	var err *failure
	mayHaveRun := false
	for range pieces {
		pieceErr := <-results
		mayHaveRun = mayHaveRun || pieceErr == nil || pieceErr.mayHaveRun
		if pieceErr != nil && (err == nil || pieceErr.clientGone) {
			err = pieceErr
		}
	}
	if err != nil {
		err.mayHaveRun = mayHaveRun
	}
	return err
}

// writePiece writes a piece to its extent. The first write to an extent creates an object, which may be placed on any
// shard; concurrent writes to the extent wait until its shard is known.
func (t *task) writePiece(file *openFile, class *RequestClass, piece layout.Piece, data []byte) *failure {
	for {
		file.lock.Lock()
		extent, allocated := file.extentAt(piece.ExtentIndex), file.allocating[piece.ExtentIndex]
		first := extent.Object == "" && allocated == nil
		if first {
			file.allocating[piece.ExtentIndex] = make(chan struct{})
		}
		file.lock.Unlock()
		switch {
		case extent.Object != "":
			return t.writeExtent(file, class, extent, piece, data)
		case first:
			return t.allocateExtent(file, class, piece, data)
		}
		if err := t.waitFor(allocated, class); err != nil {
			return err
		}
	}
}

// writeExtent writes to an extent that has an object.
func (t *task) writeExtent(file *openFile, class *RequestClass, extent layout.Extent, piece layout.Piece,
	data []byte) *failure {
	units := t.front.options.Units.Of(len(data))
	reply, err := t.execute(file.volume, class, units, orderingKey(extent.Object), node.Call{
		Op:      node.PutObject,
		Name:    extent.Object,
		Owner:   file.path.String(),
		Offset:  piece.ExtentOffset,
		Shard:   extent.Shard,
		Version: objectExists,
		Data:    data,
	})
	if err == nil && reply.Status == node.NotFound {
		return failuref(sftp.Failure, "written off: another has written or removed the file")
	}
	return err
}

// allocateExtent creates the object of an extent with the extent's first write. Each attempt uses a new object name,
// so an object whose creation has an unknown outcome is never used.
func (t *task) allocateExtent(file *openFile, class *RequestClass, piece layout.Piece, data []byte) *failure {
	object := t.front.uniqueName()
	reply, err := t.execute(file.volume, class, t.front.options.Units.Of(len(data)), orderingKey(object), node.Call{
		Op:     node.PutObject,
		Name:   object,
		Owner:  file.path.String(),
		Offset: piece.ExtentOffset,
		Shard:  anyShard,
		Data:   data,
	})
	file.lock.Lock()
	defer file.lock.Unlock()
	close(file.allocating[piece.ExtentIndex])
	delete(file.allocating, piece.ExtentIndex)
	if err == nil {
		file.uncommitted[piece.ExtentIndex] = layout.Extent{Shard: reply.Shard, Object: object}
		file.dirty = true
	}
	return err
}
