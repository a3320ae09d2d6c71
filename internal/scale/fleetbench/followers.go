package fleetbench

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"irispost/internal/fleet/client"
	"irispost/internal/scale/meter"
)

// pause is between a gateway's asks where no news is waited for, as in a gateway's configuration.
const pause = 400 * time.Millisecond

// followers are gateways' sides of following, in this process, with the bytes at their sockets.
type followers struct {
	list  []*client.Client
	bytes []meter.Bytes           // of each
	from  map[string]*meter.Bytes // of all together, by the keeper's address
	want  atomic.Pointer[string]  // how what all should act on is named
	there atomic.Int64            // that do
	all   chan struct{}
	log   *slog.Logger
}

func newFollowers(count int, addrs []string) *followers {
	f := &followers{list: make([]*client.Client, count), bytes: make([]meter.Bytes, count), from: map[string]*meter.Bytes{}, all: make(chan struct{}, 1),
		log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	for _, addr := range addrs {
		f.from[addr] = &meter.Bytes{}
	}
	return f
}

// expect has the followers be waited for that act on a version alone.
func (f *followers) expect(version int) {
	text := strconv.Itoa(version) + "."
	f.there.Store(0)
	f.want.Store(&text)
}

// wait waits until all act on it.
func (f *followers) wait(ctx context.Context, check func() error) error {
	end := time.After(patience)
	for {
		select {
		case <-f.all:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-end:
			return fmt.Errorf("after %v %d of %d followers act on version %s", patience, f.there.Load(), len(f.list), strings.TrimSuffix(*f.want.Load(), "."))
		case <-time.After(time.Second):
			if err := check(); err != nil {
				return err
			}
		}
	}
}

// begin starts all; each is told of all keepers.
func (f *followers) begin(addrs []string) error {
	for i := range f.list {
		if err := f.start(i, addrs); err != nil {
			return err
		}
	}
	return nil
}

func (f *followers) start(i int, addrs []string) (err error) {
	var last atomic.Pointer[string]
	ready := make(chan struct{})
	now := func() int64 { return time.Now().UnixNano() }
	dial := meter.Dialer((&net.Dialer{Timeout: pause}).DialContext, func(addr string) []*meter.Bytes {
		return []*meter.Bytes{&f.bytes[i], f.from[addr]}
	})
	o := client.Options{Gateway: fmt.Sprint("g", i), Replicas: addrs, RenewInterval: pause, Now: now, Seed: uint64(i), Dial: dial, Logger: f.log}
	o.OnChange = func() {
		<-ready
		f.list[i].At(now())
		_, acts := f.list[i].Status()
		w := f.want.Load()
		if strings.HasPrefix(acts, *w) && !strings.Contains(acts, "&") && last.Swap(w) != w && f.there.Add(1) == int64(len(f.list)) {
			f.all <- struct{}{}
		}
	}
	f.list[i], err = client.Start(o)
	close(ready)
	return err
}

// close ends those that were started.
func (f *followers) close() {
	for i, g := range f.list {
		if g != nil {
			g.Close()
			f.list[i] = nil
		}
	}
}

// both is the bytes of each, both ways, so far.
func (f *followers) both() []int64 {
	list := make([]int64, len(f.bytes))
	for i := range f.bytes {
		list[i] = f.bytes[i].Both()
	}
	return list
}
