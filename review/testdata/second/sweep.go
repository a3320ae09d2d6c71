package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path"
	"slices"
	"sync"
	"time"

	pkgsftp "github.com/pkg/sftp"

	"irispost/internal/backend/node"
	"irispost/internal/layout"
)

func init() { cases["sweep"] = sweep }

// Times of the sweep, in proportion to those of examples/canteen.hcl (every 10 minutes, idle for 1 hour).
const (
	sweepEvery = 15 * time.Second
	sweepIdle  = 10 * time.Second
)

// sweep: programs store menus in the usual way of a safe upload, under a temporary name that is then renamed. They are
// left alone for longer than a sweep wants. One of four storage nodes runs slower for a while, which is the disruption.
// During that, the menus are moved from one folder to another. All of them have to be found there.
func sweep(p *play) error {
	const (
		menus    = 16
		kitchens = 48
		nodes    = 4
		slowNode = 3
		slowBy   = 120 * time.Millisecond // a lookup of 30 ms that takes 5 times as long
		slowFor  = 14 * time.Second
	)
	relays, err := p.startFileNodes(nodes, func(*node.Call) time.Duration { return 0 })
	if err != nil {
		return err
	}
	more := fmt.Sprintf("  sweep {\n    every = %q\n    idle  = %q\n  }\n", sweepEvery, sweepIdle)
	gateway, err := p.startGatewayWithList(relays, more)
	if err != nil {
		return err
	}
	started := time.Now()
	client, err := p.connect(gateway)
	if err != nil {
		return err
	}
	folders := []string{"/orders/archive"}
	for i := range kitchens {
		folders = append(folders, fmt.Sprintf("/orders/kitchen-%02d", i))
	}
	folders = append(folders, "/orders/today")
	for _, folder := range folders {
		if err := client.Mkdir(folder); err != nil {
			return fmt.Errorf("mkdir %s: %w", folder, err)
		}
	}
	var names []string // of menus whose records lie on the other nodes
	for i := 0; len(names) < menus; i++ {
		name := fmt.Sprintf("menu-%02d", i)
		if !liesOn(slowNode, nodes, path.Join("/orders/today", name), path.Join("/orders/archive", name)) {
			names = append(names, name)
		}
	}
	name := func(i int) string { return names[i] }
	uploads := make(chan error, menus)
	for i := range menus { // at once, so that the objects come to all nodes
		go func() { uploads <- upload(client, "/orders/today", name(i), content(i)) }()
	}
	for range menus {
		if err := <-uploads; err != nil {
			return err
		}
	}
	p.note("%d menus stored in /orders/today under temporary names, closed and renamed: OK; %d folders", menus, len(folders))

	time.Sleep(time.Until(started.Add(sweepEvery - 2*time.Second)))
	if p.trouble {
		relays[slowNode].slow.Store(int64(slowBy))
		time.AfterFunc(slowFor, func() { relays[slowNode].slow.Store(0) })
		p.note("one of four nodes runs slower for %v: each job takes %v more", slowFor, slowBy)
	}
	time.Sleep(time.Until(started.Add(sweepEvery + 1500*time.Millisecond)))
	p.note("the menus are moved to /orders/archive")
	var moving sync.WaitGroup
	moved := make([]error, menus)
	for i := range menus {
		moving.Add(1)
		go func() {
			defer moving.Done()
			from, to := path.Join("/orders/today", name(i)), path.Join("/orders/archive", name(i))
			for range 10 { // a dismissal says that trying again is harmless; after a write-off, the folder tells
				if moved[i] = client.PosixRename(from, to); moved[i] == nil {
					return
				}
				time.Sleep(300 * time.Millisecond)
				if _, err := client.Stat(to); err == nil {
					moved[i] = nil
					return
				}
			}
		}()
	}
	moving.Wait()
	there := 0
	for i, err := range moved {
		if err == nil {
			there++
		} else {
			p.note("the move of %s: %v", name(i), err)
		}
	}
	p.note("%d of %d menus were moved: OK", there, menus)
	time.Sleep(time.Until(started.Add(sweepEvery + slowFor + 2*time.Second)))
	for _, line := range gateway.process.lines("sweep") {
		p.note("log of the gateway: %s", line)
	}
	lost := 0
	for i := range menus {
		found, err := readAgain(client, path.Join("/orders/archive", name(i)))
		if errors.Is(err, os.ErrNotExist) && moved[i] != nil {
			found, err = readAgain(client, path.Join("/orders/today", name(i)))
		}
		if err != nil || string(found) != content(i) {
			lost++
			p.note("%s: found %d of %d bytes, %v", name(i), len(found), len(content(i)), err)
		}
	}
	p.note("%d of %d menus are found, with the bytes that were flushed", menus-lost, menus)
	if lost > 0 {
		p.breakRule("%d menus that were stored and flushed are lost", lost)
	}
	return nil
}

// liesOn reports whether the record of one of the paths lies on a shard.
func liesOn(shard, shards int, paths ...string) bool {
	return slices.ContainsFunc(paths, func(text string) bool {
		parsed, err := layout.Parse(text)
		return err != nil || parsed.HomeShard(shards) == shard
	})
}

func content(i int) string { return fmt.Sprintf("menu number %d, a soup and a main course\n", i) }

// upload stores a file under a temporary name, closes it and renames it.
func upload(client *pkgsftp.Client, folder, name, text string) error {
	temporary := path.Join(folder, "."+name+".part")
	file, err := client.OpenFile(temporary, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	if _, err := file.WriteAt([]byte(text), 0); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return client.PosixRename(temporary, path.Join(folder, name))
}

// readAgain reads a file, and tries again for some seconds if that fails.
func readAgain(client *pkgsftp.Client, name string) (found []byte, err error) {
	for range 4 {
		var file *pkgsftp.File
		if file, err = client.Open(name); err == nil {
			found, err = io.ReadAll(file)
			_ = file.Close()
		}
		if err == nil {
			return found, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return found, err
}
