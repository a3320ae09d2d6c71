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
	// renewInterval is the time between a gateway's renewals while it watches for no announcement, as in its
	// configuration.
	renewInterval = 400 * time.Millisecond

	exitCheckInterval = time.Second
)

// clientGroup is the gateways' clients of the replicas, in this process, with the bytes at their sockets.
type clientGroup struct {
	clients          []*client.Client          // nil: not started
	traffic          []meter.Counter           // of each
	trafficByReplica map[string]*meter.Counter // of all together, by the replica's address
	logger           *slog.Logger

	expected  atomic.Pointer[string] // prefix of the name of the version that is awaited
	acting    atomic.Int64           // number of clients that act on it alone
	allActing chan struct{}          // receives once all do
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

// wait waits until all clients act on the expected version alone. check is called meanwhile, and its error ends the
// wait.
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
			return fmt.Errorf("after %v %d of %d followers act on version %s",
				stateTimeout, g.acting.Load(), len(g.clients), version)
		case <-time.After(exitCheckInterval):
			if err := check(); err != nil {
				return err
			}
		}
	}
}

// startAll starts all clients, each with the addresses of all replicas.
func (g *clientGroup) startAll(replicaAddrs []string) error {
	for i := range g.clients {
		if err := g.start(i, replicaAddrs); err != nil {
			return err
		}
	}
	return nil
}

// start starts the client of an index. When its configuration changes, it checks whether it acts on the expected
// version.
func (g *clientGroup) start(index int, replicaAddrs []string) (err error) {
	started := make(chan struct{})
	defer close(started)
	var reported atomic.Pointer[string] // the expectation that this client has met
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

// dialer returns the function that opens the connections of the client of an index, with its bytes counted.
func (g *clientGroup) dialer(index int) meter.Dial {
	plain := (&net.Dialer{Timeout: renewInterval}).DialContext
	return meter.Dialer(plain, func(addr string) []*meter.Counter {
		return []*meter.Counter{&g.traffic[index], g.trafficByReplica[addr]}
	})
}

func unixNow() int64 { return time.Now().UnixNano() }

// close closes the clients that were started.
func (g *clientGroup) close() {
	for i, started := range g.clients {
		if started != nil {
			started.Close()
			g.clients[i] = nil
		}
	}
}

// totals returns the bytes of each client so far, in both directions.
func (g *clientGroup) totals() []int64 {
	totals := make([]int64, len(g.traffic))
	for i := range g.traffic {
		totals[i] = g.traffic[i].Total()
	}
	return totals
}
