package rig

import (
	"io"
	"time"
)

// maxDelayedChunks is how many chunks are under way at once in one direction; each has copyBufferBytes at most.
const maxDelayedChunks = 64

// delayedReader delivers what it reads after a fixed time, without holding up what follows.
type delayedReader struct {
	chunks  chan delayedChunk
	current delayedChunk // what of it was not delivered yet
	stopped chan struct{}
}

// delayedChunk is what one read has returned, and when it is delivered. Its error comes after its bytes.
type delayedChunk struct {
	bytes     []byte
	deliverAt time.Time
	err       error
}

// newDelayedReader begins to read.
func newDelayedReader(from io.Reader, latency time.Duration) *delayedReader {
	d := &delayedReader{chunks: make(chan delayedChunk, maxDelayedChunks), stopped: make(chan struct{})}
	go d.readAhead(from, latency)
	return d
}

// readAhead reads until there is an error or the reader is stopped. It ends with its connection at the latest.
func (d *delayedReader) readAhead(from io.Reader, latency time.Duration) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		chunk := delayedChunk{append([]byte(nil), buffer[:n]...), time.Now().Add(latency), err}
		select {
		case d.chunks <- chunk:
		case <-d.stopped:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read waits until the next bytes are to be delivered.
func (d *delayedReader) Read(b []byte) (int, error) {
	for len(d.current.bytes) == 0 && d.current.err == nil {
		d.current = <-d.chunks
		time.Sleep(time.Until(d.current.deliverAt))
	}
	n := copy(b, d.current.bytes)
	d.current.bytes = d.current.bytes[n:]
	if len(d.current.bytes) > 0 {
		return n, nil
	}
	return n, d.current.err
}

// stop tells that nobody reads any more.
func (d *delayedReader) stop() { close(d.stopped) }
