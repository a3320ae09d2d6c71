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

// nowhere is nodes that nothing is sent to.
type nowhere struct{}

func (nowhere) Start(string, *node.Call, func(node.Reply)) node.Attempt { return nil }
func (nowhere) AbortQueued(func(string) bool)                           {}
func (nowhere) Retain(map[string]bool)                                  {}
func (nowhere) LateReplies() int64                                      { return 0 }

// ills are what becomes of a call while the service is ill.
var ills = []string{"refused", "no connection", "busy", "busy late", "reset", "reset late", "silent", "cut off", "trickle", "spoilt"}

// illService answers calls over pipes: until a time each comes to some ill, and from then on each new one is answered. What was lost stays lost.
type illService struct {
	lock sync.Mutex
	draw *rand.Rand
	well time.Time
	only string // the one ill; empty: any
	out  sync.WaitGroup
}

func (s *illService) ill() string {
	if !time.Now().Before(s.well) {
		return ""
	}
	if s.only != "" {
		return s.only
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return ills[s.draw.IntN(len(ills))]
}

func (s *illService) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	switch s.ill() {
	case "refused":
		return nil, errors.New("refused")
	case "no connection":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ours, theirs := net.Pipe()
	s.out.Go(func() { s.serve(theirs) })
	return ours, nil
}

func (s *illService) serve(c net.Conn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		const head, list = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", `{"rev":2,"all":true,"targets":[]}`
		switch s.ill() {
		case "":
			time.Sleep(500 * time.Millisecond) // it handles calls in turn
			fmt.Fprintf(c, head, len(list), list)
		case "busy late":
			time.Sleep(time.Second)
			fallthrough
		case "busy":
			io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		case "reset late":
			time.Sleep(time.Second)
			return
		case "cut off":
			fmt.Fprintf(c, head, len(list), list[:10])
			io.Copy(io.Discard, in)
			return
		case "trickle":
			for _, b := range []byte(fmt.Sprintf(head, 1<<20, list)) {
				time.Sleep(300 * time.Millisecond)
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
			}
		case "spoilt":
			fmt.Fprintf(c, head, 5, `{"rev`)
		case "silent":
			io.Copy(io.Discard, in)
			return
		default: // reset, and what befalls connections alone
			return
		}
	}
}

// TestWhatCanBeReachedIsHeardInTime: whatever becomes of calls before, and of the one that is out, what the service has is heard within six seconds from when it
// can be reached: by then it counts as told. In the bubble's time, over pipes, with the module's own waits.
func TestWhatCanBeReachedIsHeardInTime(t *testing.T) {
	const within = 6 * time.Second
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	play := func(t *testing.T, seed uint64, only, every, goal string) (took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			draw := rand.New(rand.NewPCG(seed, 1))
			terms := scheduler.Settings{"discovery": "ask", "products.count": "1", "products.0.name": "read", "products.0.goal": goal}
			if every != "" {
				terms["list.every"] = every
			}
			c, _, err := discovery.New(discovery.Options{Gateway: "n", Address: "a", LongPoll: (&platform.Config{Settings: terms}).LongPoll(), Timeout: time.Second, Log: log})
			if err != nil {
				t.Fatal(err)
			}
			s := &illService{draw: draw, only: only, well: time.Now().Add(time.Duration(draw.Int64N(int64(30 * time.Second))))}
			discovery.Dialled(c, s.dial)
			loop := gateway.Start(gateway.Options{Name: "n", Seed: seed, Settings: terms, QueueSize: 10, Clock: gateway.NewClock(), Nodes: nowhere{}, Watch: c.Watch, Log: log})
			ctx, cancel := context.WithCancel(t.Context())
			heard, ended := make(chan bool, 100), make(chan bool)
			go func() {
				c.Run(ctx, func(l endpoint.List) { loop.UpdateEndpoints(l); heard <- true }, loop.EndpointListFailed)
				close(ended)
			}()
			<-heard
			took = time.Since(s.well)
			cancel()
			<-ended
			loop.Stop()
			s.out.Wait()
		})
		return took
	}
	for _, times := range [][2]string{{"", "300"}, {"10000", "300"}, {"4000", "300"}, {"", "60000"}} { // a round of the module's is an eighth of the goal
		every, goal := times[0], times[1]
		worst := map[string]time.Duration{}
		for _, only := range append([]string{""}, ills...) {
			for seed := range map[bool]uint64{true: 200, false: 10}[only == ""] {
				if took := play(t, seed, only, every, goal); took > within {
					t.Errorf("asked every %q ms, goal %s ms, ill %q, seed %d: heard after %v", every, goal, only, seed, took)
				} else {
					worst[only] = max(worst[only], took)
				}
			}
		}
		t.Logf("asked every %q ms, goal %s ms: heard after at most %v", every, goal, worst)
	}
}
