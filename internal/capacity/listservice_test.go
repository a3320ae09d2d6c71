package capacity_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"irispost/internal/endpoint/discovery"
	"irispost/internal/scale/meter"
	"irispost/internal/testkit/testaddr"
)

// listService is a test discovery service. It holds a long poll until the list's revision differs from the caller's or
// the poll times out.
type listService struct {
	net.Listener
	server *http.Server
	bytes  meter.Counter

	lock    sync.Mutex // guards the fields below
	changed chan struct{}
	list    discovery.Response
	polls   []time.Time
}

// startListService starts a service with a list of the given number of nodes. It runs until the end of the test.
func startListService(t *testing.T, nodes int) *listService {
	t.Helper()
	s := &listService{list: discovery.Response{Revision: 1, Full: true}, changed: make(chan struct{})}
	for i := range nodes {
		s.list.Targets = append(s.list.Targets, target(i, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)))
	}
	s.listen(t, testaddr.Reserve(t)) // so that a test can stop the service and listen on the same address again
	t.Cleanup(s.stop)
	return s
}

// target returns the list entry of a node.
func target(i int, addr string) discovery.Target {
	return discovery.Target{
		UID:           fmt.Sprintf("store-%06d", i),
		Endpoint:      addr,
		Zone:          fmt.Sprint("zone-", i%7),
		Model:         "m",
		Shard:         i,
		State:         "ready",
		Weight:        1,
		StartedMillis: 1_700_000_000_000 + int64(i),
	}
}

// listen starts serving at an address.
func (s *listService) listen(t *testing.T, addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s.Listener = listener
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(s) }() // returns an error once the server is closed
}

// stop closes the listener and all connections. The list is kept.
func (s *listService) stop() {
	_ = s.server.Close() // a second Close returns an error
}

// Accept accepts a connection whose bytes are counted.
func (s *listService) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meter.CountBytes(conn, &s.bytes), nil
}

// ServeHTTP answers a poll with the full list or, if the caller names a revision, with at most one changed entry.
func (s *listService) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	from, _ := strconv.ParseInt(request.FormValue("from"), 10, 64) // 0: the caller has no list
	holdMillis, _ := strconv.Atoi(request.FormValue("hold_ms"))    // 0: the caller does not wait
	s.lock.Lock()
	s.polls = append(s.polls, time.Now())
	revision, changed := s.list.Revision, s.changed
	s.lock.Unlock()
	if from == revision {
		select {
		case <-changed:
		case <-time.After(time.Duration(holdMillis) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	s.lock.Lock()
	response := s.list
	s.lock.Unlock()
	if from > 0 {
		response.Full = false
		response.Targets = response.Targets[:min(1, int(response.Revision-from))]
	}
	encoded, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(encoded) // a client that has disconnected polls again
}

// change increments the list's revision and wakes the held polls.
func (s *listService) change() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.list.Revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// reset sets the revision and discards the record of polls.
func (s *listService) reset(revision int64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.list.Revision = revision
	s.polls = nil
}

// pollsWithin returns the number of polls that arrived less than span after the given time.
func (s *listService) pollsWithin(span time.Duration, after time.Time) (count int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, poll := range s.polls {
		if poll.Sub(after) < span {
			count++
		}
	}
	return count
}
