package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"irispost/internal/backend/node"
)

func init() { cases["far-write"] = farWrite }

const (
	memoryLimitMB = 2048 // as in the example of DEPLOY.md; over it the gateway is killed
)

// farWrite: usual clients write, flush and read small files. One bad client writes a single byte far out in a file and
// closes it, which is the disruption. The platform kills a gateway that goes over its limit on memory.
func farWrite(p *play) error {
	gateway, err := p.startFileGateway(func(*node.Call) time.Duration { return 0 })
	if err != nil {
		return err
	}
	var most atomic.Int64
	var killed atomic.Bool
	go p.watchMemory(gateway.process, &most, &killed)

	usual, err := p.connect(gateway)
	if err != nil {
		return err
	}
	answered := 0
	request := func() error {
		file, err := usual.OpenFile(fmt.Sprintf("/orders/usual-%d", answered%8), os.O_RDWR|os.O_CREATE)
		if err != nil {
			return err
		}
		if _, err := file.WriteAt([]byte("an order"), 0); err != nil {
			return err
		}
		if err := file.Sync(); err != nil {
			return err
		}
		answered++
		return file.Close()
	}
	for begin := time.Now(); time.Since(begin) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
		if err := request(); err != nil {
			return err
		}
	}
	p.note("%d small files of a usual client written and flushed, the gateway has %d MB", answered, most.Load())

	if p.trouble {
		bad, err := p.connect(gateway)
		if err != nil {
			return err
		}
		go func() {
			const offset = 1<<49 - 1
			file, err := bad.OpenFile("/orders/far", os.O_RDWR|os.O_CREATE)
			if err != nil {
				p.note("the bad client's open: %v", err)
				return
			}
			_, err = file.WriteAt([]byte{1}, offset)
			p.note("the bad client wrote 1 byte at %d: %v", int64(offset), err)
			err = file.Close()
			p.note("the bad client closed its file: %v", err)
		}()
	}
	before := answered
	for begin := time.Now(); time.Since(begin) < 15*time.Second; time.Sleep(20 * time.Millisecond) {
		if err := request(); err != nil {
			p.note("a request of the usual client: %v", err)
			break
		}
	}
	time.Sleep(200 * time.Millisecond)
	p.note("%d more small files written and flushed, the gateway had %d MB at most", answered-before, most.Load())
	switch {
	case killed.Load():
		p.breakRule("the gateway went over %d MB and was killed", memoryLimitMB)
	case gateway.process.hasEnded():
		p.breakRule("the gateway crashed: %v", gateway.process.state)
	}
	return nil
}

// watchMemory records the most resident memory that a process has had, in MB, and kills it over the limit.
func (p *play) watchMemory(watched *process, most *atomic.Int64, killed *atomic.Bool) {
	path := filepath.Join("/proc", strconv.Itoa(watched.command.Process.Pid), "statm")
	for !watched.hasEnded() {
		text, err := os.ReadFile(path)
		if fields := strings.Fields(string(text)); err == nil && len(fields) > 1 {
			pages, _ := strconv.ParseInt(fields[1], 10, 64)
			used := pages * int64(os.Getpagesize()) >> 20
			most.Store(max(most.Load(), used))
			if used > memoryLimitMB {
				p.note("the gateway has %d MB, over its limit of %d MB: killed", used, memoryLimitMB)
				killed.Store(true)
				_ = watched.command.Process.Kill()
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}
