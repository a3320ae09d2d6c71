package front

import (
	"slices"

	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// rangeAccess is the access of an unanswered request to bytes of a path. The draft asks (section 4.1) that requests
// for one file have the results that they would have one at a time; those whose bytes do not overlap, or that only
// read, run concurrently.
type rangeAccess struct {
	from, to uint64 // bytes, to excluded
	write    bool
	done     chan struct{} // closed when the request has its answer
}

func (a *rangeAccess) conflictsWith(other *rangeAccess) bool {
	return (a.write || other.write) && a.from < other.to && other.from < a.to
}

// requestState is the state of a request. Only request.setState changes it.
type requestState uint8

const (
	requestWaiting requestState = iota // for earlier requests for the same bytes
	requestRunning
	requestAnswered
)

// handler does a request's work and returns its answer. Without a packet and a failure that is status OK.
type handler = func() (*sftp.Packet, *failure)

// withStatus makes a handler of work that is answered with a status only.
func withStatus(work func() *failure) handler {
	return func() (*sftp.Packet, *failure) { return nil, work() }
}

// request is a client's request. It gets exactly one answer, unless its client has closed the connection.
type request struct {
	task
	session      *session
	state        requestState
	accesses     map[layout.Path]*rangeAccess
	predecessors []<-chan struct{} // each closed when an earlier request that this one waits for has its answer
	class        *RequestClass     // bounds the wait for predecessors; nil at the root of all volumes
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

// orderRange puts a request in order after earlier ones for the same bytes of a path.
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

// orderPath puts a request in order after earlier ones for any byte of a path.
func (r *request) orderPath(path layout.Path, write bool) {
	kind := Lookup
	if write {
		kind = Change
	}
	r.orderRange(path, 0, ^uint64(0), write, kind)
}

// run waits for the request's predecessors, does its work and answers. A request whose predecessors do not end before
// its deadline has done nothing.
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

// setState is the one place where a request changes state. An answered request lets its successors run, and gives its
// slot back.
func (r *request) setState(state requestState) {
	r.state = state
	if state != requestAnswered {
		return
	}
	r.session.removeAccesses(r.accesses)
	<-r.session.slots
	r.front.inFlight.end()
}

// removeAccesses ends the accesses of a request that has its answer.
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

// answer sends the one answer. A request that has it already is left as it is.
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
