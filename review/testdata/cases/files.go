package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/sftp"
)

func init() { cases["files"] = playFiles }

const (
	fileNodes       = 3
	fileCount       = 180
	fileWorkers     = 8
	fileBytes       = 20_000
	failShare       = "0.5" // of its jobs that the node fails: "fails half its jobs"
	troubleTime     = 20 * time.Second
	patienceForFile = 15 * time.Second // of the client that reads a file back
)

const filesConfig = `gateway "canteen" {
  listen = "%s"
  nodes  = "nodes.hcl"
  shards = 3
}
units {
  bytes = "16KiB"
  least = 0.25
}
order {
  rest = "100ms"
}
plan "standard" {
  rate = 2000
}
product "order-read" {
  goal     = "300ms"
  patience = "2500ms"
}
product "order-write" {
  goal     = "300ms"
  patience = "2500ms"
  in_turn  = true
}
product "order-change" {
  kind     = "referenced"
  group    = "shard"
  window   = "5s"
  goal     = "500ms"
  patience = "2500ms"
}
volume "orders" {
  id   = 1
  plan = "standard"
  product "order-read" {
    for = ["read", "look"]
  }
  product "order-write" {
    for = ["write"]
  }
  product "order-change" {
    for = ["change"]
  }
}
`

// playFiles replaces the contents of files over SFTP while one of three storage nodes fails half of its jobs. A client
// flushes each file until the gateway confirms the flush, and closes it. Later, every file that was confirmed has to
// have what was written.
func playFiles(b *bench) (broken bool, err error) {
	gatewayAddr, nodeAddrs, gateway, err := startFileGateway(b)
	if err != nil {
		return false, err
	}
	client, err := dialFiles(gatewayAddr)
	if err != nil {
		return false, err
	}
	defer client.Close()
	for i := range fileCount { // before the trouble
		if err := storeFile(client, fileName(i), content(i, "old")); err != nil {
			return false, fmt.Errorf("file %d before the trouble: %w", i, err)
		}
	}
	b.logf("%d files of %d bytes stored and closed", fileCount, fileBytes)
	if b.trouble {
		if err := fault(nodeAddrs[0], "fail "+failShare); err != nil {
			return false, err
		}
		b.logf("the node of shard 0 fails half of its jobs from now on, for %v", troubleTime)
	}
	began := time.Now()
	confirmed, flushes, err := replaceFiles(b, gatewayAddr, began.Add(troubleTime))
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(troubleTime)))
	if b.trouble {
		if err := fault(nodeAddrs[0], "well"); err != nil {
			return false, err
		}
		b.logf("the node of shard 0 is well again")
	}
	time.Sleep(3 * time.Second)
	lost := readBack(b, client, confirmed)
	if !gateway.running() {
		return false, fmt.Errorf("the gateway has ended")
	}
	b.appendLog(gateway, 15)
	b.logf("%d files replaced, flushed and closed with OK; %d flushes were answered otherwise first; %d of these files are lost",
		len(confirmed), flushes, lost)
	if len(confirmed) == 0 {
		return false, fmt.Errorf("no file was confirmed")
	}
	return lost > 0, nil
}

func fileName(i int) string { return fmt.Sprintf("/orders/day%03d", i) }

// content returns what a file holds: its own bytes for each file and version.
func content(i int, version string) []byte {
	line := fmt.Sprintf("%s %s order of the canteen\n", fileName(i), version)
	return []byte(strings.Repeat(line, fileBytes/len(line)+1))[:fileBytes]
}

func startFileGateway(b *bench) (addr string, nodes []string, gateway *process, err error) {
	list := ""
	for shard := range fileNodes {
		node, err := freeAddr()
		if err != nil {
			return "", nil, nil, err
		}
		p, err := b.start(fmt.Sprintf("node%d", shard), nil, "node", "--shard", fmt.Sprint(shard), "--listen", node, "--unit", "2ms")
		if err != nil {
			return "", nil, nil, err
		}
		if err := waitListening(p, node); err != nil {
			return "", nil, nil, err
		}
		nodes = append(nodes, node)
		list += fmt.Sprintf("node %q {\n  shard = %d\n}\n", node, shard)
	}
	if addr, err = freeAddr(); err != nil {
		return "", nil, nil, err
	}
	if err := writeFile(filepath.Join(b.dir, "nodes.hcl"), list); err != nil {
		return "", nil, nil, err
	}
	conf := filepath.Join(b.dir, "gateway.hcl")
	if err := writeFile(conf, fmt.Sprintf(filesConfig, addr)); err != nil {
		return "", nil, nil, err
	}
	gateway, err = b.start("gateway", nil, "serve", "--config", conf)
	if err != nil {
		return "", nil, nil, err
	}
	return addr, nodes, gateway, waitListening(gateway, addr)
}

func dialFiles(addr string) (*sftp.Client, error) {
	conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return sftp.NewClientPipe(conn, conn)
}

// storeFile writes a whole file and closes it.
func storeFile(client *sftp.Client, name string, data []byte) error {
	file, err := client.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// replaceFiles replaces the files until the given time, and returns the numbers of those whose flush and close were
// answered with OK, and how many flushes were answered otherwise.
func replaceFiles(b *bench, addr string, until time.Time) (confirmed []int, flushes int64, err error) {
	var next, repeated atomic.Int64
	var lock sync.Mutex
	var group sync.WaitGroup
	failures := make(chan error, fileWorkers)
	for range fileWorkers {
		group.Go(func() {
			client, err := dialFiles(addr)
			if err != nil {
				failures <- err
				return
			}
			defer client.Close()
			for time.Now().Before(until) {
				i := int(next.Add(1)) - 1
				if i >= fileCount {
					return
				}
				ok := replaceFile(b, client, i, until, &repeated)
				if ok {
					lock.Lock()
					confirmed = append(confirmed, i)
					lock.Unlock()
				}
			}
		})
	}
	group.Wait()
	select {
	case err = <-failures:
	default:
	}
	return confirmed, repeated.Load(), err
}

// replaceFile replaces the content of a file as a careful client does: each step is asked for again until it is
// answered with OK. It reports whether the flush and the close were.
func replaceFile(b *bench, client *sftp.Client, i int, until time.Time, repeated *atomic.Int64) bool {
	name := fileName(i)
	var file *sftp.File
	steps := []struct {
		name string
		do   func() error
	}{
		{"open for replacement", func() (err error) {
			file, err = client.OpenFile(name, os.O_WRONLY|os.O_TRUNC)
			return err
		}},
		{"write", func() error {
			_, err := file.WriteAt(content(i, "new"), 0)
			return err
		}},
		{"flush", func() error { return file.Sync() }},
	}
	for _, step := range steps {
		for {
			err := step.do()
			if err == nil {
				b.logf("  %s %s: ok", name, step.name)
				break
			}
			b.logf("  %s %s: %v", name, step.name, err)
			if step.name == "flush" {
				repeated.Add(1)
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	if err := file.Close(); err != nil {
		b.logf("  %s close: %v", name, err)
		return false
	}
	b.logf("  %s close: ok", name)
	return true
}

// readBack reads the confirmed files and returns how many do not have what was written.
func readBack(b *bench, client *sftp.Client, confirmed []int) (lost int) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, 32)
	for _, i := range confirmed {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			got, err := readFile(client, fileName(i))
			if err == nil && bytes.Equal(got, content(i, "new")) {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			lost++
			what := "other bytes"
			if bytes.Equal(got, content(i, "old")) {
				what = "the old bytes"
			}
			if err != nil {
				what = err.Error()
			}
			b.logf("LOST %s: was confirmed, but reading it gives, over %v: %s", fileName(i), patienceForFile, what)
		})
	}
	group.Wait()
	return lost
}

// readFile reads a whole file. It tries again while the gateway does not serve it, for patienceForFile.
func readFile(client *sftp.Client, name string) (data []byte, err error) {
	for until := time.Now().Add(patienceForFile); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		var file *sftp.File
		if file, err = client.Open(name); err != nil {
			continue
		}
		data, err = io.ReadAll(file)
		_ = file.Close()
		if err == nil {
			return data, nil
		}
	}
	return nil, err
}

// fault sends a command to a stand-in node of the project, by its published extension.
func fault(addr, command string) error {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	text := func(s string) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(s))), s...) }
	packet := func(kind byte, id uint32, rest ...[]byte) []byte {
		body := binary.BigEndian.AppendUint32([]byte{kind}, id)
		for _, part := range rest {
			body = append(body, part...)
		}
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	}
	const typeInit, typeExtended, typeStatus = 1, 200, 101
	if _, err := conn.Write(packet(typeInit, 3)); err != nil {
		return err
	}
	if _, _, err := readPacket(conn); err != nil {
		return err
	}
	if _, err := conn.Write(packet(typeExtended, 1, text("fault@irispost"), text(command))); err != nil {
		return err
	}
	kind, body, err := readPacket(conn)
	if err != nil {
		return err
	}
	if kind != typeStatus || len(body) < 8 || binary.BigEndian.Uint32(body[4:]) != 0 {
		return fmt.Errorf("the node does not take the command %q", command)
	}
	return nil
}

func readPacket(conn net.Conn) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[:])-1)
	_, err = io.ReadFull(conn, body)
	return head[4], body, err
}
