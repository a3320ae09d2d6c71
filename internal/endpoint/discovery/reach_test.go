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

// unusedNodes is a stub of the storage nodes; this test sends no requests.
type unusedNodes struct{}

func (unusedNodes) Start(string, *node.Call, func(node.Reply)) node.Attempt { return nil }
func (unusedNodes) AbortQueued(func(string) bool)                           {}
func (unusedNodes) Retain(map[string]bool)                                  {}
func (unusedNodes) LateReplies() int64                                      { return 0 }

// faults are the possible outcomes of a poll while the service is faulty.
var faults = []string{
	"refused", "no connection", "busy", "busy late", "reset", "reset late", "no response", "cut off", "trickle",
	"malformed",
}

const (
	answerHead = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
	emptyList  = `{"rev":2,"all":true,"targets":[]}`
)

// faultyService answers polls over pipes. Until healthyAt each poll fails with a fault; later polls are answered.
// Polls and connections that failed before healthyAt do not recover.
type faultyService struct {
	healthyAt   time.Time
	onlyFault   string // the only fault to use; empty: any
	connections sync.WaitGroup

	lock sync.Mutex // guards rng
	rng  *rand.Rand
}

// fault returns the fault for the next poll or connection; empty: none.
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

// serve handles the polls of a connection until it is closed.
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

// answer handles one poll, and reports whether the connection stays open.
func (s *faultyService) answer(conn net.Conn, in io.Reader) (open bool) {
	switch s.fault() {
	case "":
		time.Sleep(500 * time.Millisecond) // it handles polls one at a time, so each may wait for others
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
	return false // "reset", and the faults that only affect dialing
}

const busyAnswer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

// write writes to a connection, and reports whether that succeeded.
func write(conn net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(conn, format, args...)
	return err == nil
}

// timing has the scheduler settings, in milliseconds, that determine the intervals of polls.
type timing struct {
	list      string // list.every; empty: not set
	objective string // latency objective; the interval of the scheduler's rounds is an eighth of it
}

// recoveryTime runs a gateway with a faulty service in a synctest bubble, and returns the time from when the service
// is healthy until the gateway has received the list.
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

// After any sequence of faults, including one in the poll in progress, a gateway receives the list within six seconds
// from when the service is reachable again: after that time the list counts as delivered.
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
					t.Errorf("%+v, fault %q, seed %d: list received after %v, want at most 6s", timing, fault, seed, took)
				}
				worst[fault] = max(worst[fault], took)
			}
		}
		t.Logf("%+v: list received after at most %v", timing, worst)
	}
}
