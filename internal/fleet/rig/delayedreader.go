package rig

import (
	"io"
	"time"
)

// maxDelayedChunks bounds the chunks in transit in one direction. Each has at most copyBufferBytes.
const maxDelayedChunks = 64

// delayedReader delivers what it reads after a fixed delay. Chunks are delayed concurrently, so that the delays of
// consecutive chunks do not add up.
type delayedReader struct {
	chunks  chan delayedChunk
	current delayedChunk // the part of the current chunk that is not delivered yet
	stopped chan struct{}
}

// delayedChunk is the result of one read and the time at which it is delivered. The error is returned after the bytes.
type delayedChunk struct {
	bytes     []byte
	deliverAt time.Time
	err       error
}

// newDelayedReader returns a delayedReader and starts reading ahead.
func newDelayedReader(from io.Reader, latency time.Duration) *delayedReader {
	d := &delayedReader{chunks: make(chan delayedChunk, maxDelayedChunks), stopped: make(chan struct{})}
	go d.readAhead(from, latency)
	return d
}

// readAhead reads until an error occurs or the reader is stopped. It returns at the latest when the connection is
// closed.
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

// Read blocks until the next bytes are due.
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

// stop makes readAhead return. Read must not be called any more.
func (d *delayedReader) stop() { close(d.stopped) }
