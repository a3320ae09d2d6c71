package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"time"

	pkgsftp "github.com/pkg/sftp"

	"irispost/internal/backend/node"
)

func init() { cases["truncated"] = truncated }

// truncated: two programs store the same file one after the other: open it with CREAT and TRUNC, write, close. The
// second one begins when the first one has written everything and waits for the answer to its close. That comes late,
// which is the disruption. What is found afterwards has to be what the second one stored.
func truncated(p *play) error {
	const path = "/orders/menu"
	const commitDelay = 800 * time.Millisecond
	var armed, held atomic.Bool
	gateway, err := p.startFileGateway(func(call *node.Call) time.Duration {
		if call.Op == node.CompareAndSwapRecord && call.Name == path && armed.CompareAndSwap(true, false) {
			held.Store(true)
			p.note("the answer to one change of the record of %s will come %v late", path, commitDelay)
			return commitDelay
		}
		return 0
	})
	if err != nil {
		return err
	}
	first, err := p.connect(gateway)
	if err != nil {
		return err
	}
	second, err := p.connect(gateway)
	if err != nil {
		return err
	}
	if err := p.manyFiles(first, 100); err != nil {
		return err
	}
	const lineLength = len("new menu\n")
	long := strings.Repeat("old menu\n", 400)
	short := strings.Repeat("new menu\n", 10)

	one, err := first.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	if _, err := one.WriteAt([]byte(long), 0); err != nil {
		return err
	}
	p.note("the first program wrote %d bytes: OK", len(long))
	armed.Store(p.trouble)
	firstClosed := make(chan error, 1)
	go func() {
		err := one.Close()
		p.note("the first program's close was answered: %v", err)
		firstClosed <- err
	}()
	if p.trouble {
		for !held.Load() {
			time.Sleep(time.Millisecond)
		}
	} else if err := <-firstClosed; err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)

	two, err := second.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	p.note("the second program opened %s with TRUNC: OK", path)
	for offset := 0; offset < len(short); offset += lineLength {
		if _, err := two.WriteAt([]byte(short[offset:offset+lineLength]), int64(offset)); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.note("the second program wrote %d bytes in lines: OK", len(short))
	if err := two.Close(); err != nil {
		return err
	}
	p.note("the second program's close was answered: OK")
	if p.trouble {
		if err := <-firstClosed; err != nil {
			return err
		}
	}
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
	p.note("stored last: %d bytes, found: %d bytes", len(short), len(found))
	if string(found) != short {
		p.note("found from byte %d on: %q ...", len(short), found[min(len(short), len(found)):min(len(found), len(short)+40)])
		p.breakRule("the file has %d bytes, of which the last program wrote %d", len(found), len(short))
	}
	return nil
}

// manyFiles stores some files. It stands for the clients' other changes, of which the disrupted one is a small share.
func (p *play) manyFiles(client *pkgsftp.Client, count int) error {
	for i := range count {
		file, err := client.OpenFile(fmt.Sprintf("/orders/other-%d", i%10), os.O_RDWR|os.O_CREATE|os.O_TRUNC)
		if err != nil {
			return err
		}
		if _, err := file.WriteAt([]byte("another file"), 0); err != nil {
			return err
		}
		if err := file.Close(); err != nil {
			return err
		}
	}
	p.note("%d other files stored", count)
	return nil
}
