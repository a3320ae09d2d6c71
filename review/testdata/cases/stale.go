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
	"time"

	"github.com/pkg/sftp"
)

func init() { cases["stale"] = playStale }

const (
	staleFiles  = 30               // each is written again and again by a client of its own
	silence     = 6 * time.Second  // of one connection
	staleRounds = 12 * time.Second // how long the clients write
)

// playStale lets one connection between the gateway and a storage node fall silent for four seconds, in the moment in
// which a write is on it. What was sent on it arrives after that. Clients go on writing the same bytes of their files.
func playStale(b *bench) (broken bool, err error) {
	link := &silentLink{b: b}
	addr, gateway, err := startStaleGateway(b, link)
	if err != nil {
		return false, err
	}
	writers := make([]*staleWriter, staleFiles)
	for i := range writers {
		client, err := dialFiles(addr)
		if err != nil {
			return false, err
		}
		defer client.Close()
		writers[i] = &staleWriter{b: b, name: fileName(i)}
		if writers[i].file, err = client.OpenFile(fileName(i), os.O_RDWR|os.O_CREATE); err != nil {
			return false, err
		}
		if !writers[i].write() {
			return false, fmt.Errorf("%s cannot be written before the trouble", fileName(i))
		}
	}
	until := time.Now().Add(staleRounds)
	var group sync.WaitGroup
	for _, w := range writers {
		group.Go(func() { w.run(until) })
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		link.arm()
	}
	group.Wait()
	time.Sleep(silence)
	lost := 0
	for _, w := range writers {
		got, err := w.read()
		want := w.content(w.confirmed)
		if err != nil || !bytes.Equal(got, want) {
			lost++
			b.logf("LOST %s: version %d was written and flushed with OK last, but %.40q is read (%v)", w.name, w.confirmed, got, err)
		}
	}
	if !gateway.running() {
		return false, fmt.Errorf("the gateway has ended")
	}
	b.appendLog(gateway, 10)
	b.logf("%d of %d files do not have the version that was flushed with OK last", lost, len(writers))
	return lost > 0, nil
}

// staleWriter is a client that keeps the latest version of its content in a file. Only it writes the file.
type staleWriter struct {
	b         *bench
	name      string
	file      *sftp.File
	version   int // the latest one
	confirmed int // the latest one whose write and flush were answered with OK; nothing is asked for after the last
}

func (w *staleWriter) content(version int) []byte {
	line := fmt.Sprintf("version %06d of %s\n", version, w.name)
	return []byte(strings.Repeat(line, 4000/len(line)))
}

// run writes new versions until the given time. If a version was not taken, it writes and flushes a newer one until
// that is confirmed, and then leaves the file as it is.
func (w *staleWriter) run(until time.Time) {
	for time.Now().Before(until) {
		if taken := w.write(); !taken {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// write writes the next version over the one before, and flushes it. If the write is not answered with OK, it goes on
// with a newer version, and if the flush is not, it asks for that again. It reports whether the first write was taken.
func (w *staleWriter) write() (taken bool) {
	taken = true
	for {
		w.version++
		_, err := w.file.WriteAt(w.content(w.version), 0)
		if err == nil {
			break
		}
		taken = false
		w.b.logf("  %s version %d: %v", w.name, w.version, err)
		time.Sleep(50 * time.Millisecond)
	}
	for {
		err := w.file.Sync()
		if err == nil {
			break
		}
		w.b.logf("  %s flush of version %d: %v", w.name, w.version, err)
		time.Sleep(50 * time.Millisecond)
	}
	w.confirmed = w.version
	if !taken {
		w.b.logf("  %s version %d: written and flushed with OK; nothing more is asked for", w.name, w.version)
	}
	return taken
}

func (w *staleWriter) read() (got []byte, err error) {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		got = make([]byte, len(w.content(1)))
		if _, err = w.file.ReadAt(got, 0); err == nil || err == io.EOF {
			return got, nil
		}
	}
	return nil, err
}

// startStaleGateway starts three storage nodes behind a link, and a gateway.
func startStaleGateway(b *bench, link *silentLink) (addr string, gateway *process, err error) {
	list := ""
	for shard := range fileNodes {
		node, err := freeAddr()
		if err != nil {
			return "", nil, err
		}
		p, err := b.start(fmt.Sprintf("node%d", shard), nil, "node", "--shard", fmt.Sprint(shard), "--listen", node, "--unit", "2ms")
		if err != nil {
			return "", nil, err
		}
		if err := waitListening(p, node); err != nil {
			return "", nil, err
		}
		through, err := link.listen(node)
		if err != nil {
			return "", nil, err
		}
		list += fmt.Sprintf("node %q {\n  shard = %d\n}\n", through, shard)
	}
	if err := writeFile(filepath.Join(b.dir, "nodes.hcl"), list); err != nil {
		return "", nil, err
	}
	if addr, err = freeAddr(); err != nil {
		return "", nil, err
	}
	conf := filepath.Join(b.dir, "gateway.hcl")
	if err := writeFile(conf, fmt.Sprintf(filesConfig, addr)); err != nil {
		return "", nil, err
	}
	if gateway, err = b.start("gateway", nil, "serve", "--config", conf); err != nil {
		return "", nil, err
	}
	return addr, gateway, waitListening(gateway, addr)
}

// silentLink passes connections on to storage nodes. Once it is armed, the connection that carries the next write falls
// silent towards the node for a while, beginning with that write. Nothing is lost and nothing changes its order.
type silentLink struct {
	b *bench

	lock  sync.Mutex
	armed bool
	count int
}

func (l *silentLink) arm() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.armed = true
}

// fallsSilent reports whether the connection with this packet falls silent now.
func (l *silentLink) fallsSilent(packet []byte) bool {
	if firstLine(packet) == "" {
		return false // no write of a client's bytes
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.armed
	l.armed = false
	return now
}

// firstLine returns the first line of a client's bytes in a packet, or nothing if there are none.
func firstLine(packet []byte) string {
	at := bytes.Index(packet, []byte("version 0"))
	if at < 0 || !bytes.Contains(packet, []byte("exec@irispost")) {
		return ""
	}
	line, _, _ := bytes.Cut(packet[at:], []byte("\n"))
	return string(line)
}

func (l *silentLink) listen(node string) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(conn, node)
		}
	}()
	return listener.Addr().String(), nil
}

func (l *silentLink) pass(gateway net.Conn, node string) {
	defer gateway.Close()
	conn, err := net.Dial("tcp", node)
	if err != nil {
		return
	}
	defer conn.Close()
	go func() {
		_, _ = io.Copy(gateway, conn)
		_ = gateway.Close()
	}()
	l.lock.Lock()
	l.count++
	number := l.count
	l.lock.Unlock()
	var resumed time.Time
	for {
		var head [4]byte
		if _, err := io.ReadFull(gateway, head[:]); err != nil {
			return
		}
		packet := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(gateway, packet); err != nil {
			return
		}
		if l.fallsSilent(packet) {
			l.b.logf("connection %d falls silent with the write of %s on it", number, firstLine(packet))
			time.Sleep(silence)
			l.b.logf("connection %d goes on", number)
			resumed = time.Now()
		}
		if time.Since(resumed) < 100*time.Millisecond {
			if line := firstLine(packet); line != "" {
				l.b.logf("  connection %d passes the write of %s", number, line)
			}
		}
		if _, err := conn.Write(append(head[:], packet...)); err != nil {
			return
		}
	}
}
