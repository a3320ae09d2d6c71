package capacity_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/internal/endpoint/discovery"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// TestMeasureList measures endpoint lists by nodes: the bytes transferred, and the time to encode and decode them.
func TestMeasureList(t *testing.T) {
	m := beginMeasurement(t)
	for _, nodes := range []int{200, 900, 1800} {
		service := startListService(t, nodes)
		measureListCoding(t, m, service, float64(nodes))
		measureListBytes(t, m, service, float64(nodes))
		service.stop()
	}
	m.save()
}

// measureListCoding measures the size of the full list, the time to encode it, and the time to decode and apply it and
// to decode and apply a change.
func measureListCoding(t *testing.T, m *measurement, service *listService, nodes float64) {
	t.Helper()
	full := encode(t, service.list)
	m.addMeasured("list_whole_bytes_by_nodes", "bytes", "nodes", nodes, float64(len(full)))
	encodeMicros := meanMicros(50, func(int) { _, _ = json.Marshal(service.list) }) // encode has succeeded above
	m.addMeasured("list_make_ms_by_nodes", "ms", "nodes", nodes, encodeMicros/1e3)
	var table discovery.Table
	apply := func(encoded []byte) {
		var response discovery.Response
		if err := json.Unmarshal(encoded, &response); err != nil {
			t.Fatal(err)
		}
		if _, err := table.Apply(&response, false); err != nil {
			t.Fatal(err)
		}
	}
	m.addMeasured("list_whole_take_ms_by_nodes", "ms", "nodes", nodes, meanMicros(50, func(int) { apply(full) })/1e3)
	change := encode(t, discovery.Response{Revision: 2, Targets: service.list.Targets[:1]})
	m.addMeasured("list_take_us_by_nodes", "us", "nodes", nodes, meanMicros(300, func(int) { apply(change) }))
}

// encode returns the JSON form of a response.
func encode(t *testing.T, response discovery.Response) []byte {
	t.Helper()
	encoded, err := json.Marshal(response)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// measureListBytes measures the bytes of a poll that returns no change, and of a change.
func measureListBytes(t *testing.T, m *measurement, service *listService, nodes float64) {
	t.Helper()
	const count = 200
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	lists := watchLists(ctx, t, service)
	<-lists
	<-lists
	before := service.bytes.Total()
	for range count {
		<-lists
	}
	emptyPoll := float64(service.bytes.Total()-before) / count
	m.addMeasured("list_call_bytes_by_nodes", "bytes", "nodes", nodes, emptyPoll)
	before = service.bytes.Total()
	emptyPolls := 0
	for range count {
		service.change()
		for list := <-lists; len(list.Nodes) == 0; list = <-lists {
			emptyPolls++
		}
	}
	changes := float64(service.bytes.Total()-before) - float64(emptyPolls)*emptyPoll
	m.addMeasured("list_change_bytes_by_nodes", "bytes", "nodes", nodes, changes/count)
}

// watchLists runs a client of the service with long polls of 2 ms. All lists that it receives are sent to the returned
// channel.
func watchLists(ctx context.Context, t *testing.T, service *listService) <-chan endpoint.List {
	t.Helper()
	client, _, err := discovery.New(discovery.Options{
		Gateway:  "g",
		Address:  service.Addr().String(),
		LongPoll: 2 * time.Millisecond,
		Timeout:  time.Minute,
		Log:      discardLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	lists := make(chan endpoint.List)
	go client.Run(ctx, func(list endpoint.List) {
		select {
		case lists <- list:
		case <-ctx.Done():
		}
	}, func(bool) {})
	client.Watch()
	return lists
}

// unusedNodeClient is a client of storage nodes for gateways that make no attempts.
type unusedNodeClient struct{}

func (unusedNodeClient) Start(string, *node.Call, func(node.Reply)) node.Attempt { return nil }
func (unusedNodeClient) Retain(map[string]bool)                                  {}
func (unusedNodeClient) AbortQueued(func(string) bool)                           {}
func (unusedNodeClient) LateReplies() int64                                      { return 0 }

// TestMeasureListReturns stops the list service for 4 s. It measures how long after the restart the last gateway has
// the new list, and the number of polls in the first second. The list has only 16 nodes, since TestMeasureList measures
// the cost of large ones.
func TestMeasureListReturns(t *testing.T) {
	m := beginMeasurement(t)
	for _, gateways := range []int{100, 300, 780} {
		measureListReturn(t, m, gateways)
	}
	m.save()
}

func measureListReturn(t *testing.T, m *measurement, gateways int) {
	t.Helper()
	const outage = 4 * time.Second
	service := startListService(t, 16)
	addr := service.Addr().String()
	group := startListGateways(t, addr, gateways)
	defer group.stop()
	<-group.allUpdated
	service.stop()
	time.Sleep(outage)
	group.expect("2")
	service.reset(2)
	startedAt := time.Now()
	service.listen(t, addr)
	<-group.allUpdated
	took := time.Since(startedAt)
	time.Sleep(max(0, time.Second-took))
	polls := service.pollsWithin(time.Second, startedAt)
	size := float64(gateways)
	m.addMeasured("list_return_ms_by_gateways", "ms", "gateways", size, float64(took.Milliseconds()))
	m.addMeasured("list_return_calls_by_gateways", "calls", "gateways", size, float64(polls))
	group.cancel()
	service.stop()
}

// listGateways is a group of gateways that poll a list service. Each has a discovery client and an event loop.
type listGateways struct {
	count        int64
	cancel       context.CancelFunc
	running      sync.WaitGroup
	loops        []*gateway.Loop
	expected     atomic.Pointer[string] // the list version that is awaited
	updatedCount atomic.Int64           // number of gateways that have this version
	allUpdated   chan struct{}          // receives a value once all gateways have it
}

// startListGateways starts gateways and expects version 1 of the list at all of them.
func startListGateways(t *testing.T, addr string, count int) *listGateways {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	group := &listGateways{count: int64(count), cancel: cancel, allUpdated: make(chan struct{}, 1)}
	group.expect("1")
	for i := range count {
		group.start(ctx, t, addr, uint64(i))
	}
	return group
}

// expect sets the list version that allUpdated reports.
func (g *listGateways) expect(version string) {
	g.updatedCount.Store(0)
	g.expected.Store(&version)
}

func (g *listGateways) start(ctx context.Context, t *testing.T, addr string, seed uint64) {
	t.Helper()
	client, _, err := discovery.New(discovery.Options{
		Gateway:  "g",
		Address:  addr,
		LongPoll: 3 * time.Second,
		Timeout:  time.Second,
		Log:      discardLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	loop := gateway.Start(gateway.Options{
		Name:      "g",
		Seed:      seed,
		QueueSize: 64,
		Clock:     gateway.NewClock(),
		Nodes:     unusedNodeClient{},
		Watch:     client.Watch,
		Log:       discardLogger(),
		Settings: scheduler.Settings{
			"discovery":       "ask",
			"units.mean":      "1",
			"products.count":  "1",
			"products.0.name": "r",
			"products.0.goal": "300",
		},
	})
	g.loops = append(g.loops, loop)
	last := ""
	g.running.Go(func() {
		client.Run(ctx, func(list endpoint.List) {
			loop.UpdateEndpoints(list)
			expected := *g.expected.Load()
			if list.Version != expected || last == expected {
				return
			}
			last = expected
			if g.updatedCount.Add(1) == g.count {
				g.allUpdated <- struct{}{}
			}
		}, loop.EndpointListFailed)
	})
}

// stop stops all clients and event loops.
func (g *listGateways) stop() {
	g.cancel()
	g.running.Wait()
	for _, loop := range g.loops {
		loop.Stop()
	}
}
