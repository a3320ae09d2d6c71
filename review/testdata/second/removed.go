package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
	"irispost/internal/layout"
	"irispost/internal/xdsstandin"
)

func init() { cases["removed"] = removed }

// removed: a gateway has its list from an xDS management server. Three of five storage nodes are replaced within seven
// seconds, which is the disruption: each is removed from the list, and twelve seconds later its replacement is added.
// Clients look up files on all shards. From two seconds after the gateway has acknowledged the removal of a node,
// nothing new may reach that node.
func removed(p *play) error {
	const (
		nodeCount        = 5
		removeEvery      = 3 * time.Second
		replacementAfter = 12 * time.Second
		grace            = 2050 * time.Millisecond // 2 s, and 50 ms of the protocol page
	)
	var replaced []int // shards
	if p.trouble {
		replaced = []int{2, 3, 4}
	}
	var lock sync.Mutex
	arrivals := map[string][]time.Time{} // by address
	watch := func(r *relay) {
		r.hold = func(*node.Call) time.Duration {
			lock.Lock()
			defer lock.Unlock()
			arrivals[r.addr()] = append(arrivals[r.addr()], time.Now())
			return 0
		}
	}
	relays, err := p.startFileNodes(nodeCount, func(*node.Call) time.Duration { return 0 })
	if err != nil {
		return err
	}
	var nodes []endpoint.Node
	for shard, relay := range relays {
		watch(relay)
		nodes = append(nodes, endpoint.Node{Addr: relay.addr(), Shard: shard})
	}
	server, err := xdsstandin.Start("127.0.0.1:0", 1, nodes...)
	if err != nil {
		return err
	}
	p.atEnd(server.Close)
	gateway, err := p.serveFiles(nodeCount, "", fmt.Sprintf("source \"xds\" \"plane\" {\n  address = %q\n}\n", server.Addr()))
	if err != nil {
		return err
	}
	p.note("the gateway has the list of %d nodes", nodeCount)
	client, err := p.connect(gateway)
	if err != nil {
		return err
	}
	end := make(chan struct{})
	var asking sync.WaitGroup
	for shard := range nodeCount {
		path := pathOfShard(shard, nodeCount)
		asking.Add(1)
		go func() {
			defer asking.Done()
			for {
				select {
				case <-end:
					return
				case <-time.After(30 * time.Millisecond):
				}
				_, _ = client.Stat(path) // there is no such file; where no node serves the shard, a dismissal
			}
		}()
	}
	time.Sleep(2 * time.Second)

	told := map[int]time.Time{}
	for _, shard := range replaced {
		replacement, err := p.startRelay(relays[shard].target, nil)
		if err != nil {
			return err
		}
		watch(replacement)
		before := endpointAcks(server)
		if err := server.Command("remove " + nodes[shard].Addr); err != nil {
			return err
		}
		if err := waitFor(5*time.Second, func() bool { return endpointAcks(server) > before }); err != nil {
			return err
		}
		told[shard] = time.Now()
		p.note("the gateway has acknowledged that the node of shard %d, %s, is removed", shard, nodes[shard].Addr)
		time.AfterFunc(replacementAfter, func() {
			_ = server.Command(fmt.Sprintf("add %s %d", replacement.addr(), shard))
			p.note("its replacement for shard %d, %s, is listed", shard, replacement.addr())
		})
		time.Sleep(removeEvery)
	}
	time.Sleep(replacementAfter + time.Second)
	close(end)
	asking.Wait()
	for _, line := range gateway.process.lines("hold-down") {
		p.note("log of the gateway: %s", line)
	}
	lock.Lock()
	defer lock.Unlock()
	for _, shard := range replaced {
		late, last := 0, time.Duration(0)
		for _, at := range arrivals[nodes[shard].Addr] {
			if after := at.Sub(told[shard]); after > grace {
				late, last = late+1, after
			}
		}
		p.note("shard %d: %d attempts reached the removed node, %d of them later than %v after the acknowledgement, the last one %v after it",
			shard, len(arrivals[nodes[shard].Addr]), late, grace, last.Round(time.Millisecond))
		if late > 0 {
			p.breakRule("%d new attempts were sent to the removed node of shard %d", late, shard)
		}
	}
	return nil
}

// endpointAcks returns the number of lists of endpoints that were acknowledged.
func endpointAcks(server *xdsstandin.Server) (count int) {
	for _, ack := range server.Acks() {
		if ack.Type == xds.EndpointType && ack.Refusal == "" {
			count++
		}
	}
	return count
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("an acknowledgement did not come")
		}
	}
	return nil
}

// pathOfShard returns a path whose record is stored on a shard.
func pathOfShard(shard, shards int) string {
	for i := 0; ; i++ {
		path, err := layout.Parse(fmt.Sprintf("/orders/file-%d", i))
		if err == nil && path.HomeShard(shards) == shard {
			return path.String()
		}
	}
}
