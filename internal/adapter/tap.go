package adapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// A tap of the bench is sections: a line ">> process N, B bytes" and B bytes of what the bench sent to process N, or "<<"
// and what that answered.

// FindProcess finds the process that hosts an instance.
func FindProcess(tap io.Reader, number int64) (int, error) {
	start := fmt.Appendf(nil, "\nINIT\t%d\t", number)
	in := bufio.NewReaderSize(tap, 1<<20)
	for {
		sent, process, body, err := section(in)
		if err == io.EOF {
			return 0, fmt.Errorf("no instance %d is started in the tap", number)
		}
		if err != nil {
			return 0, err
		}
		if sent && bytes.Contains(append([]byte("\n"), body...), start) {
			return process, nil
		}
	}
}

// section reads the next section.
func section(in *bufio.Reader) (sent bool, process int, body []byte, err error) {
	line, err := in.ReadString('\n')
	if err == io.EOF && strings.TrimSpace(line) == "" {
		return false, 0, nil, io.EOF
	}
	var way string
	var size int
	if _, scan := fmt.Sscanf(line, "%s process %d, %d bytes", &way, &process, &size); scan != nil || way != ">>" && way != "<<" || size < 0 || size > 1<<30 {
		return false, 0, nil, fmt.Errorf("this is no tap of the bench: %.40q", line)
	}
	body = make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return false, 0, nil, fmt.Errorf("the tap is cut off inside a section: %w", err)
	}
	return way == ">>", process, body, nil
}

// replies compares what a process answers now with what it answered when the tap was made.
type replies struct {
	in      *bufio.Reader
	process int
	rest    []byte       // of what was sent
	got     bytes.Buffer // answered since the last section
	batches int
	other   int // batches that are answered otherwise
	first   int // the first of them
}

// Read hands out what the bench sent.
func (r *replies) Read(b []byte) (int, error) {
	for len(r.rest) == 0 {
		sent, process, body, err := section(r.in)
		if err != nil {
			return 0, err
		}
		switch {
		case process != r.process:
		case sent:
			r.rest = body
		default:
			if r.batches++; !bytes.Equal(body, r.got.Bytes()) {
				if r.other++; r.other == 1 {
					r.first = r.batches
				}
			}
			r.got.Reset()
		}
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func (r *replies) Write(b []byte) (int, error) { return r.got.Write(b) }

// ErrRepliesDiffer tells that this build answers a tap otherwise than the build that it was made with.
var ErrRepliesDiffer = errors.New("this build answers otherwise than the tap")

// Import plays a tap's process to this build's modules, with a listener to one instance. It returns how many batches there
// were. ErrOther tells that the answers differ; what was told to the listener is then this build's.
func Import(tap io.Reader, process int, number int64, t Tap) (batches int, err error) {
	r := &replies{in: bufio.NewReaderSize(tap, 1<<20), process: process}
	err = Run(r, r, func(n int64) Tap {
		if n == number {
			return t
		}
		return nil
	})
	if err == nil && r.other > 0 {
		err = fmt.Errorf("%w in %d of %d batches, first in batch %d", ErrRepliesDiffer, r.other, r.batches, r.first)
	}
	return r.batches, err
}
