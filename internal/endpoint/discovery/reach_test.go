package discovery_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/internal/endpoint/discovery"
	"irispost/internal/gateway"
	"irispost/internal/platform"
	"irispost/scheduler"
)

// unusedNodes are backends that nothing is sent to.
type unusedNodes struct{}

func (unusedNodes) Start(string, *node.Call, func(node.Reply)) node.Attempt { return nil }
func (unusedNodes) AbortQueued(func(string) bool)                           {}
func (unusedNodes) Retain(map[string]bool)                                  {}
func (unusedNodes) LateReplies() int64                                      { return 0 }

// faults are what may become of a poll while the service is faulty.
var faults = []string{
	"refused", "no connection", "busy", "busy late", "reset", "reset late", "no response", "cut off", "trickle",
	"malformed",
}

const (
	answerHead = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
	emptyList  = `{"rev":2,"all":true,"targets":[]}`
)

// faultyService answers polls over pipes: until a time each comes to a fault, and from then on each new one is
// answered. Polls and connections lost before stay lost.
type faultyService struct {
	healthyAt   time.Time
	onlyFault   string // the one fault; empty: any
	connections sync.WaitGroup

	lock sync.Mutex // guards random
	rng  *rand.Rand
}

// fault returns what becomes of the next poll or connection; empty: it is answered.
func (s *faultyService) fault() string {
	if !time.Now().Before(s.healthyAt) {
		return ""
	}
	if s.onlyFault != "" {
		return s.onlyFault
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return faults[s.rng.IntN(len(faults))]
}

func (s *faultyService) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	switch s.fault() {
	case "refused":
		return nil, errors.New("refused")
	case "no connection":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	s.connections.Go(func() { s.serve(server) })
	return client, nil
}

// serve answers the polls of a connection until it ends.
func (s *faultyService) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for open := true; open; {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		open = s.answer(conn, in)
	}
}

// answer answers one poll, and tells whether the connection stays open.
func (s *faultyService) answer(conn net.Conn, in io.Reader) (open bool) {
	switch s.fault() {
	case "":
		time.Sleep(500 * time.Millisecond) // it handles polls in turn
		return write(conn, answerHead, len(emptyList), emptyList)
	case "busy late":
		time.Sleep(time.Second)
		return write(conn, busyAnswer)
	case "busy":
		return write(conn, busyAnswer)
	case "reset late":
		time.Sleep(time.Second)
	case "cut off":
		write(conn, answerHead, len(emptyList), emptyList[:10])
		_, _ = io.Copy(io.Discard, in) // until the client closes
	case "trickle":
		for _, b := range []byte(fmt.Sprintf(answerHead, 1<<20, emptyList)) {
			time.Sleep(300 * time.Millisecond)
			if !write(conn, "%c", b) {
				return false
			}
		}
		return true
	case "malformed":
		return write(conn, answerHead, 5, `{"rev`)
	case "no response":
		_, _ = io.Copy(io.Discard, in) // until the client closes
	}
	return false // reset, and what befalls dials alone
}

const busyAnswer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

// write writes to a connection, and tells whether its client is still there.
func write(conn net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(conn, format, args...)
	return err == nil
}

// timing is what sets the pace of polls: the scheduler's settings, in milliseconds.
type timing struct {
	list      string // list.every; empty: not set
	objective string // the latency objective of requests, of which a round of the scheduler is an eighth
}

// recoveryTime plays one faulty service until a gateway has its list, in the time of a synctest bubble, and
// returns how long that was after the service was well.
func recoveryTime(t *testing.T, seed uint64, fault string, timing timing) (took time.Duration) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 1))
		settings := scheduler.Settings{
			"discovery":       "ask",
			"products.count":  "1",
			"products.0.name": "read",
			"products.0.goal": timing.objective,
		}
		if timing.list != "" {
			settings["list.every"] = timing.list
		}
		longPoll := (&platform.Config{Settings: settings}).LongPoll()
		opt := discovery.Options{Gateway: "n", Address: "a", LongPoll: longPoll, Timeout: time.Second, Log: log}
		c, _, err := discovery.New(opt)
		if err != nil {
			t.Fatal(err)
		}
		healthyAt := time.Now().Add(time.Duration(rng.Int64N(int64(30 * time.Second))))
		s := &faultyService{rng: rng, onlyFault: fault, healthyAt: healthyAt}
		c.SetDial(s.dial)
		loop := gateway.Start(gateway.Options{
			Name:      "n",
			Seed:      seed,
			Settings:  settings,
			QueueSize: 10,
			Clock:     gateway.NewClock(),
			Nodes:     unusedNodes{},
			Watch:     c.Watch,
			Log:       log,
		})
		ctx, cancel := context.WithCancel(t.Context())
		received, ended := make(chan bool, 100), make(chan bool)
		go func() {
			defer close(ended)
			c.Run(ctx, func(l endpoint.List) { loop.UpdateEndpoints(l); received <- true }, loop.EndpointListFailed)
		}()
		<-received
		took = time.Since(s.healthyAt)
		cancel()
		<-ended
		loop.Stop()
		s.connections.Wait()
	})
	return took
}

// Whatever became of polls before, and of the one under way, a gateway has the list within six seconds from when the
// service can be reached: by then it counts as delivered.
func TestListIsReceivedInTimeAfterFaults(t *testing.T) {
	const limit = 6 * time.Second
	const mixedFaultSeeds, singleFaultSeeds = 200, 10
	for _, timing := range []timing{{"", "300"}, {"10000", "300"}, {"4000", "300"}, {"", "60000"}} {
		worst := map[string]time.Duration{}
		for _, fault := range append([]string{""}, faults...) {
			seeds := uint64(singleFaultSeeds)
			if fault == "" {
				seeds = mixedFaultSeeds
			}
			for seed := range seeds {
				took := recoveryTime(t, seed, fault, timing)
				if took > limit {
					t.Errorf("%+v, fault %q, seed %d: received after %v", timing, fault, seed, took)
				}
				worst[fault] = max(worst[fault], took)
			}
		}
		t.Logf("%+v: received after at most %v", timing, worst)
	}
}
