package web

import (
	"errors"
	"net"
	"sync"
)

// readAhead reads what a client sends while its request is in flight. Without reading that, the server would not
// notice that the client closes the connection. It buffers at most one message, and only while the server has memory
// for it. Data beyond that is discarded, and the connection is closed after the pending response. readAhead is not
// safe for concurrent use.
type readAhead struct {
	raw       net.Conn
	limit     int64                  // maximum number of buffered bytes
	reserve   func(bytes int64) bool // reserves memory, or releases it if bytes is negative
	buffered  []byte
	truncated bool // data was discarded
}

// Read returns buffered data first, then reads from the connection.
func (a *readAhead) Read(p []byte) (int, error) {
	if len(a.buffered) == 0 {
		return a.raw.Read(p)
	}
	n := copy(p, a.buffered)
	a.reserve(-int64(n))
	if a.buffered = a.buffered[n:]; len(a.buffered) == 0 {
		a.buffered = nil
	}
	return n, nil
}

// discard drops the buffered data and releases its memory.
func (a *readAhead) discard() {
	a.reserve(-int64(len(a.buffered)))
	a.buffered = nil
}

// firstReadBytes and discardReadBytes are the read sizes before and after data is discarded for the first time.
const (
	firstReadBytes   = 512
	discardReadBytes = 32 << 10
)

// discardBuffers holds buffers for data that is read and discarded.
var discardBuffers = sync.Pool{New: func() any { return new([discardReadBytes]byte) }}

// maxBytesAtOnce limits what readArrived reads from a client that sends faster than it can be read.
const maxBytesAtOnce = 8 << 20

// readArrived reads what has arrived by now. It returns an error if the client has closed the connection, and nil if
// nothing is left to read.
func (a *readAhead) readArrived() error {
	reader := aheadReader{readAhead: a}
	defer reader.release()
	for total := 0; total < maxBytesAtOnce; {
		buf := reader.buffer()
		n, err := readWithoutWaiting(a.raw, buf)
		if errors.Is(err, errNothingToRead) {
			return nil
		}
		if err != nil {
			return err
		}
		reader.keep(buf[:n])
		total += n
	}
	return nil
}

// readUntilDeadline reads until the connection's read deadline passes, and then returns nil. If reading fails for
// another reason, such as the client closing the connection, it returns that error.
func (a *readAhead) readUntilDeadline() error {
	reader := aheadReader{readAhead: a}
	defer reader.release()
	for {
		buf := reader.buffer()
		n, err := a.raw.Read(buf)
		reader.keep(buf[:n])
		if isTimeout(err) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// aheadReader provides the buffers for one use of a readAhead: a small one at first, and a large one once data is
// discarded.
type aheadReader struct {
	*readAhead
	small [firstReadBytes]byte
	large *[discardReadBytes]byte
}

// buffer returns the buffer for the next read.
func (r *aheadReader) buffer() []byte {
	if !r.truncated {
		return r.small[:]
	}
	if r.large == nil {
		r.large = discardBuffers.Get().(*[discardReadBytes]byte)
	}
	return r.large[:]
}

// keep buffers the bytes, or discards them and all that follow if there is no room.
func (r *aheadReader) keep(bytes []byte) {
	if len(bytes) > 0 && !r.truncated && !r.appendBuffered(bytes) {
		r.truncated = true
	}
}

// release returns the large buffer to the pool.
func (r *aheadReader) release() {
	if r.large != nil {
		discardBuffers.Put(r.large)
	}
}

// appendBuffered buffers the bytes. It returns false if that would exceed the limit or the server's memory for bodies.
func (a *readAhead) appendBuffered(bytes []byte) bool {
	if int64(len(a.buffered)+len(bytes)) > a.limit || !a.reserve(int64(len(bytes))) {
		return false
	}
	a.buffered = append(a.buffered, bytes...)
	return true
}
