package rig

import (
	"io"
	"time"
)

// longMost is how many pieces are under way on a long link at once, in one direction; each is 32 KiB at most.
const longMost = 64

// late reads what was read elsewhere a while ago.
type late struct {
	pieces chan piece
	rest   piece
	left   chan struct{}
}

// piece is what came at once, and when it is there. Its error comes after its bytes.
type piece struct {
	bytes []byte
	at    time.Time
	err   error
}

// newLate begins to read.
func newLate(from io.Reader, by time.Duration) *late {
	l := &late{pieces: make(chan piece, longMost), left: make(chan struct{})}
	go func() {
		b := make([]byte, 32<<10)
		for {
			n, err := from.Read(b)
			select {
			case l.pieces <- piece{append([]byte(nil), b[:n]...), time.Now().Add(by), err}:
			case <-l.left:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return l
}

// Read waits until what comes next is there.
func (l *late) Read(b []byte) (int, error) {
	for len(l.rest.bytes) == 0 && l.rest.err == nil {
		l.rest = <-l.pieces
		time.Sleep(time.Until(l.rest.at))
	}
	n := copy(b, l.rest.bytes)
	if l.rest.bytes = l.rest.bytes[n:]; len(l.rest.bytes) > 0 {
		return n, nil
	}
	return n, l.rest.err
}

// leave ends it: nobody reads any more. Its reader ends with the connection.
func (l *late) leave() { close(l.left) }
