package web

import (
	"net"
	"sync"
)

// readAhead reads what a client sends while its request is in flight, since the end of the connection shows only behind
// it. It buffers at most one message, and only while the server has memory left for it; what arrives beyond that is
// discarded, and the connection ends with the response that is due. One goroutine uses it.
type readAhead struct {
	raw       net.Conn
	limit     int64                  // bytes to buffer at most
	reserve   func(bytes int64) bool // reserves memory, or gives it back if bytes is negative
	buffered  []byte
	truncated bool // something was discarded
}

// Read returns what is buffered first, then what the connection has.
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

// discard gives up what is buffered.
func (a *readAhead) discard() {
	a.reserve(-int64(len(a.buffered)))
	a.buffered = nil
}

// firstReadBytes and discardReadBytes are the sizes of the reads before and after something is discarded.
const (
	firstReadBytes   = 512
	discardReadBytes = 32 << 10
)

// discardBuffers are buffers for what is not kept.
var discardBuffers = sync.Pool{New: func() any { return new([discardReadBytes]byte) }}

// readUntilDeadline reads until the connection's read deadline passes, upon which it returns nil, or until the
// connection ends, whose error it returns.
func (a *readAhead) readUntilDeadline() error {
	var first [firstReadBytes]byte
	for buf := first[:]; ; {
		n, err := a.raw.Read(buf)
		if n > 0 && !a.truncated && !a.appendBuffered(buf[:n]) {
			a.truncated = true
			large := discardBuffers.Get().(*[discardReadBytes]byte)
			defer discardBuffers.Put(large)
			buf = large[:]
		}
		if isTimeout(err) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// appendBuffered buffers bytes if there is room for them.
func (a *readAhead) appendBuffered(bytes []byte) bool {
	if int64(len(a.buffered)+len(bytes)) > a.limit || !a.reserve(int64(len(bytes))) {
		return false
	}
	a.buffered = append(a.buffered, bytes...)
	return true
}
