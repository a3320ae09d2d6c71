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

// ErrRepliesDiffer means that this build does not answer a tap file as the build did that it was recorded with.
var ErrRepliesDiffer = errors.New("this build answers otherwise than the tap")

// FindProcess returns the number of the process that hosts an instance in a tap file of the bench.
func FindProcess(tapFile io.Reader, instance int64) (int, error) {
	initLine := fmt.Appendf(nil, "\n%s\t%d\t", eventInit, instance)
	in := bufio.NewReaderSize(tapFile, tapBufferSize)
	for {
		s, err := readSection(in)
		if errors.Is(err, io.EOF) {
			return 0, fmt.Errorf("no instance %d is started in the tap", instance)
		}
		if err != nil {
			return 0, err
		}
		if s.input && bytes.Contains(append([]byte("\n"), s.body...), initLine) {
			return s.process, nil
		}
	}
}

// Import plays the input of a process in a tap file to this build's schedulers, with a tap on one instance. It
// returns how many batches there were. The error is ErrRepliesDiffer where the replies are not those of the file;
// what the tap observed is then this build's behaviour.
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

// section is a part of a tap file: what the bench sent to a process, or what the process replied. It is preceded by a
// line ">> process N, B bytes" or "<< process N, B bytes" with the length of its body.
type section struct {
	input   bool // sent to the process
	process int
	body    []byte
}

// readSection reads the next section; the error is io.EOF at the end of the file.
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
		return section{}, fmt.Errorf("this is no tap of the bench: %.40q", line)
	}
	s.input = direction == ">>"
	s.body = make([]byte, size)
	_, err = io.ReadFull(in, s.body)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // not the end of the file, which the caller would take for a good one
	}
	if err != nil {
		return section{}, fmt.Errorf("the tap is cut off inside a section: %w", err)
	}
	return s, nil
}

// playback hands the recorded input of a process to an adapter and compares the adapter's replies with the recorded
// ones.
type playback struct {
	in               *bufio.Reader
	process          int
	input            []byte       // of the present section, not read yet
	replies          bytes.Buffer // written since the last recorded reply
	batches          int
	differingBatches int // batches with other replies than recorded
	firstDiffering   int // number of the first of them, from 1
}

// Read hands out the recorded input. It compares the recorded replies that it passes with what has been written by
// then.
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

// Write takes in the adapter's replies.
func (p *playback) Write(b []byte) (int, error) { return p.replies.Write(b) }

// compare holds the replies of a batch against the recorded ones.
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
