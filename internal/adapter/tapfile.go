package adapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	tapBufferSize  = 1 << 20 // bytes
	maxSectionSize = 1 << 30 // bytes
)

// ErrRepliesDiffer means that this build replies to the recorded input of a tap file differently from the build with
// which the file was recorded.
var ErrRepliesDiffer = errors.New("the replies of this build differ from those in the tap file")

// FindProcess returns the number of the process that hosts an instance in a tap file of the simulator.
func FindProcess(tapFile io.Reader, instance int64) (int, error) {
	initLine := fmt.Appendf(nil, "\n%s\t%d\t", eventInit, instance)
	in := bufio.NewReaderSize(tapFile, tapBufferSize)
	for {
		s, err := readSection(in)
		if errors.Is(err, io.EOF) {
			return 0, fmt.Errorf("the tap file starts no instance %d", instance)
		}
		if err != nil {
			return 0, err
		}
		if s.input && bytes.Contains(append([]byte("\n"), s.body...), initLine) {
			return s.process, nil
		}
	}
}

// Import runs this build's schedulers on the input of one process in a tap file, with a tap on one instance, and
// returns the number of batches. The error is ErrRepliesDiffer if the replies differ from those in the file; the tap
// has then observed the behaviour of this build.
func Import(tapFile io.Reader, process int, instance int64, t Tap) (batches int, err error) {
	p := &playback{in: bufio.NewReaderSize(tapFile, tapBufferSize), process: process}
	err = Run(p, p, func(number int64) Tap {
		if number == instance {
			return t
		}
		return nil
	})
	if err == nil && p.differingBatches > 0 {
		err = fmt.Errorf("%w in %d of %d batches, first in batch %d",
			ErrRepliesDiffer, p.differingBatches, p.batches, p.firstDiffering)
	}
	return p.batches, err
}

// section is a part of a tap file: input that the simulator sent to a process, or the reply of the process. It is
// preceded by a line ">> process N, B bytes" for input or "<< process N, B bytes" for a reply, with the length of its
// body.
type section struct {
	input   bool // sent to the process; false: a reply
	process int
	body    []byte
}

// readSection reads the next section. It returns io.EOF at the end of the file.
func readSection(in *bufio.Reader) (section, error) {
	line, err := in.ReadString('\n')
	if errors.Is(err, io.EOF) && strings.TrimSpace(line) == "" {
		return section{}, io.EOF
	}
	var direction string
	var size int
	s := section{}
	_, err = fmt.Sscanf(line, "%s process %d, %d bytes", &direction, &s.process, &size)
	if err != nil || direction != ">>" && direction != "<<" || size < 0 || size > maxSectionSize {
		return section{}, fmt.Errorf("not a tap file of the simulator: unexpected line %.40q", line)
	}
	s.input = direction == ">>"
	s.body = make([]byte, size)
	_, err = io.ReadFull(in, s.body)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // the caller would take io.EOF for the regular end of the file
	}
	if err != nil {
		return section{}, fmt.Errorf("the tap file is truncated inside a section: %w", err)
	}
	return s, nil
}

// playback is the reader and writer of an adapter. It provides the recorded input of one process and compares the
// adapter's replies with the recorded ones.
type playback struct {
	in               *bufio.Reader
	process          int
	input            []byte       // rest of the current section, not yet read
	replies          bytes.Buffer // written since the last comparison
	batches          int
	differingBatches int // number of batches whose replies differ from the recorded ones
	firstDiffering   int // number of the first differing batch, counted from 1
}

// Read returns the recorded input. When it reaches a recorded reply, it compares what has been written so far with it.
func (p *playback) Read(b []byte) (int, error) {
	for len(p.input) == 0 {
		s, err := readSection(p.in)
		if err != nil {
			return 0, err
		}
		switch {
		case s.process != p.process:
		case s.input:
			p.input = s.body
		default:
			p.compare(s.body)
		}
	}
	n := copy(b, p.input)
	p.input = p.input[n:]
	return n, nil
}

// Write collects the adapter's replies for the next comparison.
func (p *playback) Write(b []byte) (int, error) { return p.replies.Write(b) }

// compare compares the replies to a batch with the recorded ones.
func (p *playback) compare(recorded []byte) {
	p.batches++
	if !bytes.Equal(recorded, p.replies.Bytes()) {
		p.differingBatches++
		if p.differingBatches == 1 {
			p.firstDiffering = p.batches
		}
	}
	p.replies.Reset()
}
