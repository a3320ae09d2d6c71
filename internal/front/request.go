package front

import (
	"slices"

	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// rangeAccess is the access of an unanswered request to a byte range of a path. Section 4.1 of the SFTP draft requires
// that requests for one file have the same results as if they ran one at a time. Requests whose ranges do not overlap,
// or that only read, run concurrently.
type rangeAccess struct {
	from, to uint64 // bytes; to is exclusive
	write    bool
	done     chan struct{} // closed when the request is answered
}

func (a *rangeAccess) conflictsWith(other *rangeAccess) bool {
	return (a.write || other.write) && a.from < other.to && other.from < a.to
}

// requestState is the state of a request. Only request.setState changes it.
type requestState uint8

const (
	requestWaiting requestState = iota // waits for earlier requests for the same bytes
	requestRunning
	requestAnswered
)

// handler executes a request and returns its response. If both results are nil, the response is status OK.
type handler = func() (*sftp.Packet, *failure)

// withStatus returns a handler for work whose response is only a status.
func withStatus(work func() *failure) handler {
	return func() (*sftp.Packet, *failure) { return nil, work() }
}

// request is a client's request. It gets exactly one response, unless the client has closed its connection.
type request struct {
	task
	session      *session
	state        requestState
	accesses     map[layout.Path]*rangeAccess
	predecessors []<-chan struct{} // each is closed when an earlier request that this one waits for is answered
	class        *RequestClass     // its timeout bounds the wait for predecessors; nil for the root path
}

func newRequest(s *session, id uint32) *request {
	return &request{
		session:  s,
		accesses: map[layout.Path]*rangeAccess{},
		task: task{
			front:          s.front,
			gatewaySession: s.gatewaySession,
			requestID:      id,
			arrived:        s.front.options.Loop.Now(),
		},
	}
}

// orderRange orders a request after earlier conflicting requests for a byte range of a path.
func (r *request) orderRange(path layout.Path, from, to uint64, write bool, kind OperationKind) {
	s := r.session
	if volume := s.front.options.Volumes[path.Volume]; volume != nil {
		r.class = volume.ClassOf(kind, path, 0)
	}
	access := &rangeAccess{from: from, to: to, write: write, done: make(chan struct{})}
	s.lock.Lock()
	for _, earlier := range s.accesses[path] {
		if access.conflictsWith(earlier) {
			r.predecessors = append(r.predecessors, earlier.done)
		}
	}
	s.accesses[path] = append(s.accesses[path], access)
	s.lock.Unlock()
	r.accesses[path] = access
}

// orderPath orders a request after earlier conflicting requests for any bytes of a path.
func (r *request) orderPath(path layout.Path, write bool) {
	kind := Lookup
	if write {
		kind = Change
	}
	r.orderRange(path, 0, ^uint64(0), write, kind)
}

// run waits for the request's predecessors, executes the request and answers it. If the predecessors do not end before
// the deadline, the request is not executed.
func (r *request) run(work handler) {
	for _, predecessor := range r.predecessors {
		if err := r.waitFor(predecessor, r.class); err != nil {
			r.answer(nil, err)
			return
		}
	}
	r.setState(requestRunning)
	r.answer(work())
}

// setState changes the state of a request. Once answered, the request lets its successors run and releases its slot.
func (r *request) setState(state requestState) {
	r.state = state
	if state != requestAnswered {
		return
	}
	r.session.removeAccesses(r.accesses)
	<-r.session.slots
	r.front.inFlight.end()
}

// removeAccesses ends the accesses of an answered request.
func (s *session) removeAccesses(accesses map[layout.Path]*rangeAccess) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for path, access := range accesses {
		close(access.done)
		if index := slices.Index(s.accesses[path], access); index >= 0 {
			s.accesses[path] = slices.Delete(s.accesses[path], index, index+1)
		}
		if len(s.accesses[path]) == 0 {
			delete(s.accesses, path)
		}
	}
}

// answer sends the response. It does nothing if the request has been answered.
func (r *request) answer(packet *sftp.Packet, err *failure) {
	if r.state == requestAnswered {
		return
	}
	switch {
	case err != nil && err.clientGone:
	case err != nil:
		r.session.conn.Send(sftp.NewStatus(r.requestID, err.code, err.message))
	case packet != nil:
		r.session.conn.Send(packet)
	default:
		r.session.conn.Send(sftp.NewStatus(r.requestID, sftp.OK, "ok"))
	}
	r.setState(requestAnswered)
}
