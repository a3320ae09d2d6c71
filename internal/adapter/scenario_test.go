package adapter_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"

	"pgregory.net/rapid"

	"irispost/internal/endpoint"
	"irispost/internal/gateway"
	"irispost/internal/platform"
	"irispost/scheduler"
)

// decisionsPerMoment is the number of decisions that both schedulers make at one time. The loop decides more often
// than the simulator would ask it to, and a decision can depend on the previous one; after this many, nothing changes
// any more.
const decisionsPerMoment = 5

// scenario is a random sequence of events. A gateway's loop handles each event when it is generated; the scenario also
// records it in the form in which the simulator would send it.
type scenario struct {
	t         *rapid.T
	clock     *manualClock
	nodes     *fakeNodes
	config    *pendingConfig
	loop      *gateway.Loop
	wire      bytes.Buffer                 // batches as the simulator would send them, with "|" for the tab character
	requests  map[string]*submittedRequest // by ID
	startedAt map[string]scheduler.Time    // last listed start of each node, by address
	settings  string                       // in force at both schedulers, in the form of the simulator
	submitted int
}

type submittedRequest struct {
	session  *gateway.Session
	result   <-chan gateway.Result
	deadline scheduler.Time
	finished bool
}

// newScenario starts a loop with three nodes in its cached endpoint list, and writes the batch that starts the
// instance in the adapter alike.
func newScenario(t *rapid.T, tap gateway.Tap) *scenario {
	conf, err := platform.Parse([]byte(platformSettings), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s := &scenario{
		t:         t,
		clock:     &manualClock{},
		nodes:     &fakeNodes{},
		config:    &pendingConfig{},
		requests:  map[string]*submittedRequest{},
		startedAt: map[string]scheduler.Time{},
		settings:  wireSettings,
	}
	s.clock.now.Store(1_790_000_000_000_000_000)
	cached := endpoint.List{Stale: true}
	fmt.Fprintf(&s.wire, "MARK|%s\nINIT|3|%d|%s\n", wireTime(s.clock.Now()), conf.Seed, wireSettings)
	fmt.Fprintf(&s.wire, "BACKENDS_CHANGED|3|restored|1|3\n")
	for i := range 3 {
		cached.Nodes = append(cached.Nodes, endpoint.Node{Addr: nodeAddr(i), Zone: "z", Shard: i})
		fmt.Fprintf(&s.wire, "ENTRY|1|k|z|%s|-|%d|ready\n", nodeAddr(i), i)
	}
	s.wire.WriteString("EOF_BATCH\n")
	s.loop = gateway.Start(gateway.Options{
		Name:       "n1",
		Seed:       conf.Seed,
		Settings:   conf.Settings,
		QueueSize:  16,
		Clock:      s.clock,
		Nodes:      s.nodes,
		CachedList: &cached,
		Watch:      func() {},
		Config:     s.config,
		Log:        slog.New(slog.NewTextHandler(io.Discard, nil)),
		Tap:        tap,
	})
	s.writeBatch("")
	return s
}

// step generates one random event.
func (s *scenario) step() {
	switch rapid.IntRange(0, 11).Draw(s.t, "step") {
	case 0, 1, 2:
		s.submit()
	case 3, 4, 5:
		s.reply()
	case 6:
		s.cancelRequest()
	case 7:
		s.updateEndpoints()
	case 8:
		s.loop.EndpointListFailed(false) // unresponsive does not occur in the simulator
		s.writeBatch("BACKENDS_CHANGED|3|unavailable|0|0")
	case 10:
		s.changeConfig()
	case 11:
		s.allocate()
	default:
		s.advance()
	}
}

// wireTime formats a time as the simulator does, in milliseconds.
func wireTime(t scheduler.Time) string { return fmt.Sprintf("%d.%06d", t/1e6, t%1e6) }

// nodeAddr returns the address of the node with a number.
func nodeAddr(number int) string { return fmt.Sprintf("10.0.0.%d:5", number) }

// writeBatch writes a batch of one event and waits until the loop has made its decisions on that event.
func (s *scenario) writeBatch(format string, args ...any) {
	now := s.clock.Now()
	line := fmt.Sprintf(format, args...)
	if line != "" {
		line += "\n"
	}
	fmt.Fprintf(&s.wire, "MARK|%s\n%sEOF_BATCH\n", wireTime(now), line)
	for range decisionsPerMoment { // Stats is answered only after the turn of the previous call has ended
		s.writeTimer()
		if _, ok := s.loop.Stats(); !ok {
			s.t.Fatal("Stats: the loop has ended, want it running")
		}
	}
	s.writeCancelled()
	for range decisionsPerMoment {
		s.writeTimer()
	}
}

// writeTimer writes a batch with a timer event, with which the simulator asks for a decision.
func (s *scenario) writeTimer() {
	fmt.Fprintf(&s.wire, "MARK|%s\nRING|3|1\nEOF_BATCH\n", wireTime(s.clock.Now()))
}

// writeCancelled writes the outcomes of cancelled attempts: the simulator reports them as events, the loop records
// them itself.
func (s *scenario) writeCancelled() {
	now := s.clock.Now()
	s.nodes.mutex.Lock()
	defer s.nodes.mutex.Unlock()
	for _, a := range s.nodes.sent {
		if a.sentAt == 0 {
			a.sentAt = now
		}
	}
	for _, a := range s.nodes.sent {
		if a.cancelled && !a.ended {
			a.ended = true
			fmt.Fprintf(&s.wire, "MARK|%s\nANSWER|3|%s|%d|%s|6|%s|1|-|-|-\nEOF_BATCH\n", wireTime(now), a.call.RequestID,
				a.call.Attempt, a.addr, wireTime(now-a.sentAt))
		}
	}
}
