package web

import (
	"net"
	"sync"
)

// ahead is what a client sends before its turn: it is read while a request waits, since a client's end shows only behind it. It holds
// as much as one message may have, where the front has room for it; what comes past that is dropped, and the connection ends
// with the answer that is due.
type ahead struct {
	raw  net.Conn
	most int64
	book func(bytes int64) bool // takes room, or gives it back
	held []byte
	over bool // something was dropped
}

// Read reads on, from what is held first.
func (a *ahead) Read(p []byte) (int, error) {
	if len(a.held) == 0 {
		return a.raw.Read(p)
	}
	n := copy(p, a.held)
	a.book(-int64(n))
	if a.held = a.held[n:]; len(a.held) == 0 {
		a.held = nil
	}
	return n, nil
}

// drop gives up what is held.
func (a *ahead) drop() {
	a.book(-int64(len(a.held)))
	a.held = nil
}

// drops are buffers for what is not kept.
var drops = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// until reads on until the connection's time to read is over, or the client's end, whose error it returns.
func (a *ahead) until() error {
	var first [512]byte
	for buf := first[:]; ; {
		n, err := a.raw.Read(buf)
		if n > 0 && !a.over {
			if int64(len(a.held)+n) <= a.most && a.book(int64(n)) {
				a.held = append(a.held, buf[:n]...)
			} else {
				a.over = true
				large := drops.Get().(*[32 << 10]byte)
				defer drops.Put(large)
				buf = large[:]
			}
		}
		if isTimeout(err) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
