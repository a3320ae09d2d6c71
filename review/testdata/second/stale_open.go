package main

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"irispost/internal/backend/node"
)

func init() { cases["stale-open"] = staleOpen }

// staleOpen: one program writes orders to a file and flushes each of them; another one opens the file for reading. The
// answer to the lookup of that open comes late, which is the disruption. Every order whose flush was answered with OK
// has to be found afterwards.
func staleOpen(p *play) error {
	const path = "/orders/monday"
	const lookupDelay = 600 * time.Millisecond
	var armed, held atomic.Bool
	gateway, err := p.startFileGateway(func(call *node.Call) time.Duration {
		if call.Op == node.GetRecord && call.Name == path && armed.CompareAndSwap(true, false) {
			held.Store(true)
			p.note("the answer to one lookup of %s will come %v late", path, lookupDelay)
			return lookupDelay
		}
		return 0
	})
	if err != nil {
		return err
	}
	writer, err := p.connect(gateway)
	if err != nil {
		return err
	}
	reader, err := p.connect(gateway)
	if err != nil {
		return err
	}
	file, err := writer.OpenFile(path, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return err
	}
	p.note("the writer created %s and keeps it open", path)
	if err := p.stats(reader, path, 150); err != nil {
		return err
	}

	armed.Store(p.trouble)
	opened := make(chan error, 1)
	go func() {
		other, err := reader.OpenFile(path, os.O_RDONLY)
		p.note("the reader's open was answered: %v", err)
		if err == nil {
			p.atEnd(func() { _ = other.Close() })
		}
		opened <- err
	}()
	if p.trouble {
		for !held.Load() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
	}
	var flushed bytes.Buffer
	flush := func(order string) error {
		if _, err := file.WriteAt([]byte(order), int64(flushed.Len())); err != nil {
			return err
		}
		if err := file.Sync(); err != nil {
			return err
		}
		p.note("order of %d bytes written at %d and flushed: OK", len(order), flushed.Len())
		flushed.WriteString(order)
		return nil
	}
	if err := flush("order 1: " + strings.Repeat("a", 90) + "\n"); err != nil {
		return err
	}
	if err := <-opened; err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	if err := flush("order 2: " + strings.Repeat("b", 90) + "\n"); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	p.note("the writer closed the file: OK")
	time.Sleep(time.Second)

	last, err := p.connect(gateway)
	if err != nil {
		return err
	}
	stored, err := last.Open(path)
	if err != nil {
		return err
	}
	found, err := io.ReadAll(stored)
	if err != nil {
		return err
	}
	p.note("flushed: %q", flushed.String())
	p.note("found:   %q", found)
	if !bytes.Equal(found, flushed.Bytes()) {
		p.breakRule("flushed bytes are not found afterwards")
	}
	return nil
}
