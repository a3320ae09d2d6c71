package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"irispost/internal/sftp"
)

// files is how many files a case spreads over, so that the order of one extent's writes is not what is measured.
const files = 64

// client is a bare client with many requests out.
type client struct {
	conn  *sftp.Conn
	lock  sync.Mutex
	ready chan struct{}
	out   map[uint32]chan sftp.Frame
	next  uint32
}

func (c *client) Packet(f sftp.Frame) error {
	if f.Type == sftp.Version {
		close(c.ready)
		return nil
	}
	id, _ := f.ID()
	c.lock.Lock()
	done := c.out[id]
	delete(c.out, id)
	c.lock.Unlock()
	if done != nil {
		done <- f
	}
	return nil
}

func (c *client) Closed(error) {}

func dial(addr string) (*client, error) {
	c := &client{ready: make(chan struct{}), out: map[uint32]chan sftp.Frame{}}
	conn, err := sftp.Dial(addr, sftp.DefaultLimits, time.Second, func(s *sftp.Conn) sftp.Peer { c.conn = s; return c })
	if err != nil {
		return nil, err
	}
	conn.Send(sftp.New(sftp.Init, sftp.ProtocolVersion))
	select {
	case <-c.ready:
		return c, nil
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("%s does not greet", addr)
	}
}

func (c *client) ask(t sftp.Type, done chan sftp.Frame, fields func(*sftp.Packet)) (sftp.Frame, error) {
	c.lock.Lock()
	c.next++
	id := c.next
	c.out[id] = done
	c.lock.Unlock()
	p := sftp.New(t, id)
	fields(p)
	c.conn.Send(p)
	select {
	case f := <-done:
		if f.Type == sftp.Status {
			_, r := f.ID()
			if code, text := sftp.Code(r.Uint32()), r.Text(); code != sftp.OK {
				return f, fmt.Errorf("%v: %s", code, text)
			}
		}
		return f, nil
	case <-c.conn.Done():
		return sftp.Frame{}, c.conn.Err()
	}
}

// side is the gateway, or the node straight.
type side struct {
	client  *client
	handles []string
}

func open(addr, prefix string) (*side, error) {
	c, err := dial(addr)
	if err != nil {
		return nil, err
	}
	s := &side{client: c}
	done := make(chan sftp.Frame, 1)
	for i := range files {
		f, err := c.ask(sftp.Open, done, func(p *sftp.Packet) {
			p.Text(prefix + strconv.Itoa(i)).Uint32(sftp.FlagRead | sftp.FlagWrite | sftp.FlagCreate).Attrs(sftp.Attrs{})
		})
		if err != nil {
			return nil, err
		}
		_, r := f.ID()
		h := r.Text()
		s.handles = append(s.handles, h)
		for at := 0; at < 256<<10; at += 32 << 10 {
			if _, err := c.ask(sftp.Write, done, func(p *sftp.Packet) { p.Text(h).Uint64(uint64(at)).Tail(make([]byte, 32<<10)) }); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

// figures are what one measurement gave.
type figures struct {
	rate     float64 // requests a second
	p50, p99 float64 // microseconds
	cpu      float64 // microseconds of the gateway for a request
	failed   int
}

// measure keeps so many requests out for a while.
func (s *side) measure(t sftp.Type, bytes, outstanding int, each time.Duration, pid int) figures {
	var all sync.WaitGroup
	var lock sync.Mutex
	h := hdrhistogram.New(1, 60_000_000, 3)
	failed := 0
	data := make([]byte, bytes)
	began, cpu := time.Now(), cpuOf(pid)
	for i := range outstanding {
		all.Add(1)
		go func() {
			defer all.Done()
			mine := hdrhistogram.New(1, 60_000_000, 3)
			bad := 0
			done := make(chan sftp.Frame, 1)
			for n := i; time.Since(began) < each; n += outstanding {
				handle := s.handles[n%files]
				offset := uint64(n/files*bytes) % (256 << 10)
				from := time.Now()
				_, err := s.client.ask(t, done, func(p *sftp.Packet) {
					p.Text(handle).Uint64(offset)
					if t == sftp.Read {
						p.Uint32(uint32(bytes))
					} else {
						p.Tail(data)
					}
				})
				if err != nil {
					bad++
					continue
				}
				_ = mine.RecordValue(max(1, time.Since(from).Microseconds()))
			}
			lock.Lock()
			h.Merge(mine)
			failed += bad
			lock.Unlock()
		}()
	}
	all.Wait()
	took := time.Since(began)
	f := figures{rate: float64(h.TotalCount()) / took.Seconds(), p50: float64(h.ValueAtQuantile(50)),
		p99: float64(h.ValueAtQuantile(99)), failed: failed}
	if pid > 0 && h.TotalCount() > 0 {
		f.cpu = (cpuOf(pid) - cpu).Seconds() * 1e6 / float64(h.TotalCount())
	}
	return f
}

// cpuOf is the processor time that a process has had; 0 where the system does not tell it.
func cpuOf(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}
