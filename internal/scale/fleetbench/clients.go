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

const (
	// renewInterval is the time between renewals of a gateway that is not watching for announcements, as in the gateway
	// configuration.
	renewInterval = 400 * time.Millisecond

	exitCheckInterval = time.Second
)

// clientGroup holds the gateways' clients of the replicas, which run in this process, and counts their traffic.
type clientGroup struct {
	clients          []*client.Client          // nil: not started
	traffic          []meter.Counter           // of each client
	trafficByReplica map[string]*meter.Counter // of all clients together, by address of the replica
	logger           *slog.Logger

	expected  atomic.Pointer[string] // prefix of the awaited version's name
	acting    atomic.Int64           // number of clients that act on the awaited version alone
	allActing chan struct{}          // receives a value once all do
}

func newClientGroup(count int, replicaAddrs []string) *clientGroup {
	group := &clientGroup{
		clients:          make([]*client.Client, count),
		traffic:          make([]meter.Counter, count),
		trafficByReplica: map[string]*meter.Counter{},
		allActing:        make(chan struct{}, 1),
		logger:           slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	for _, addr := range replicaAddrs {
		group.trafficByReplica[addr] = &meter.Counter{}
	}
	return group
}

// expect sets the version that wait waits for.
func (g *clientGroup) expect(version int) {
	prefix := strconv.Itoa(version) + "."
	g.acting.Store(0)
	g.expected.Store(&prefix)
}

// wait waits until all clients act on the expected version alone. It calls check periodically, and fails if check
// fails.
func (g *clientGroup) wait(ctx context.Context, check func() error) error {
	timeout := time.After(stateTimeout)
	for {
		select {
		case <-g.allActing:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout:
			version := strings.TrimSuffix(*g.expected.Load(), ".")
			return fmt.Errorf("after %v, only %d of %d followers act on version %s",
				stateTimeout, g.acting.Load(), len(g.clients), version)
		case <-time.After(exitCheckInterval):
			if err := check(); err != nil {
				return err
			}
		}
	}
}

// startAll starts all clients, and gives each the addresses of all replicas.
func (g *clientGroup) startAll(replicaAddrs []string) error {
	for i := range g.clients {
		if err := g.start(i, replicaAddrs); err != nil {
			return err
		}
	}
	return nil
}

// start starts the client with the given index. Whenever the client's configuration changes, a callback checks whether
// it now acts on the expected version alone.
func (g *clientGroup) start(index int, replicaAddrs []string) (err error) {
	started := make(chan struct{})
	defer close(started)
	var reported atomic.Pointer[string] // the last expected version that this client was counted for
	onChange := func() {
		<-started
		g.clients[index].At(unixNow())
		_, actingOn := g.clients[index].Status()
		expected := g.expected.Load()
		if !strings.HasPrefix(actingOn, *expected) || strings.Contains(actingOn, "&") {
			return
		}
		if reported.Swap(expected) != expected && g.acting.Add(1) == int64(len(g.clients)) {
			g.allActing <- struct{}{}
		}
	}
	g.clients[index], err = client.Start(client.Options{
		Gateway:       fmt.Sprint("g", index),
		Replicas:      replicaAddrs,
		RenewInterval: renewInterval,
		Now:           unixNow,
		Seed:          uint64(index),
		Dial:          g.dialer(index),
		Logger:        g.logger,
		OnChange:      onChange,
	})
	return err
}

// dialer returns the dial function of the client with the given index. Its connections count their bytes.
func (g *clientGroup) dialer(index int) meter.Dial {
	plain := (&net.Dialer{Timeout: renewInterval}).DialContext
	return meter.Dialer(plain, func(addr string) []*meter.Counter {
		return []*meter.Counter{&g.traffic[index], g.trafficByReplica[addr]}
	})
}

func unixNow() int64 { return time.Now().UnixNano() }

// close closes the running clients.
func (g *clientGroup) close() {
	for i, started := range g.clients {
		if started != nil {
			started.Close()
			g.clients[i] = nil
		}
	}
}

// totals returns the bytes that each client has sent and received so far.
func (g *clientGroup) totals() []int64 {
	totals := make([]int64, len(g.traffic))
	for i := range g.traffic {
		totals[i] = g.traffic[i].Total()
	}
	return totals
}
