// Package target serves volumes as disks over iSCSI (RFC 7143): error recovery level 0, one connection a session. Its
// commands become the same jobs as the file front's. How many go in, and whose is next, is package pace's to say; which job
// goes where and when, the decision module's.
package target

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/front"
	"irispost/internal/iscsi/negotiate"
	"irispost/internal/iscsi/pace"
	"irispost/internal/packetconn"
	"irispost/internal/scsi"
)

// Unit is a logical unit: a disk, and what SCSI says of it. Until it has its disk it is not ready.
type Unit struct {
	scsi.Unit
	disk atomic.Pointer[front.Disk]
}

// Set gives it its disk.
func (u *Unit) Set(d *front.Disk) { u.disk.Store(d) }

// Target is a named set of units.
type Target struct {
	Name    string
	Units   map[uint16]*Unit
	Account negotiate.Account // who may log in; without a secret everybody
}

// Limits bound a server.
type Limits struct {
	Connections int
	Login       time.Duration // a login that takes longer is closed
	Unread      int           // bytes that an initiator may leave unread; past it commands are answered TASK SET FULL
	Wire        packetconn.Limits
	Pace        pace.Limits
}

// DefaultLimits are used where nothing else is said.
var DefaultLimits = Limits{Connections: 1024, Login: 10 * time.Second, Unread: 16 << 20,
	Wire: packetconn.Limits{MaxPacket: 256 << 10, MaxReadAhead: 32 << 20, MaxUnsent: 64 << 20, WriteTimeout: 10 * time.Second},
	Pace: pace.Limits{Least: 2, Most: 256, Start: 32, Inside: 512, Bytes: 32 << 20, Quantum: 64 << 10}}

// Options are what a server is started with.
type Options struct {
	Front   *front.Front
	Targets []*Target
	Params  negotiate.Params // zero: negotiate.Ours
	Limits  Limits
	Log     *slog.Logger
}

// Server serves targets at an address.
type Server struct {
	opt      Options
	targets  map[string]*Target
	link     *packetconn.Server
	ready    chan struct{} // closed when link is there
	handles  atomic.Uint32 // target session handles
	lock     sync.Mutex    // sessions
	sessions map[identity]*session
	pacing   sync.Mutex // pacer
	pacer    *pace.Pacer
}

// identity is what makes a session one (RFC 7143, 4.4.1.1): an initiator has one of an ISID with a target.
type identity struct {
	initiator, target string
	isid              [6]byte
}

// Listen starts a server.
func Listen(addr string, opt Options) (*Server, error) {
	if opt.Params == (negotiate.Params{}) {
		opt.Params = negotiate.Preferred
	}
	opt.Params.OwnMaxSegment = min(opt.Params.OwnMaxSegment, opt.Limits.Wire.MaxPacket)
	s := &Server{opt: opt, targets: map[string]*Target{}, sessions: map[identity]*session{}, pacer: pace.New(opt.Limits.Pace),
		ready: make(chan struct{})}
	for _, t := range opt.Targets {
		if s.targets[t.Name] != nil {
			return nil, fmt.Errorf("target %q is there twice", t.Name)
		}
		s.targets[t.Name] = t
	}
	l, err := packetconn.Listen(addr, opt.Limits.Wire, opt.Limits.Connections, func(c *packetconn.Conn) packetconn.Handler {
		<-s.ready
		return newSession(s, c)
	})
	if err != nil {
		return nil, err
	}
	s.link = l
	close(s.ready)
	return s, nil
}

// Addr is the address that initiators connect to.
func (s *Server) Addr() string { return s.link.Addr() }

// Drain asks all initiators to log out, and takes nothing new.
func (s *Server) Drain() {
	s.pacing.Lock()
	s.pacer.Close()
	s.pacing.Unlock()
	s.lock.Lock()
	all := slices.Collect(maps.Values(s.sessions))
	s.lock.Unlock()
	for _, x := range all {
		x.askToLeave()
	}
}

// Break closes all connections, as a crash does.
func (s *Server) Break() { s.link.Close() }

// Close closes all connections, and puts on record what was written.
func (s *Server) Close() error {
	s.link.Close()
	var err error
	for _, t := range s.opt.Targets {
		for _, u := range t.Units {
			if d := u.disk.Load(); d != nil {
				err = errors.Join(err, d.Close())
			}
		}
	}
	return err
}

// Status is how a server stands.
type Status struct {
	State    string
	Sessions int
	Inside   int
	Waiting  int
	Bound    int
}

// Status tells how the server stands.
func (s *Server) Status() Status {
	s.lock.Lock()
	n := len(s.sessions)
	s.lock.Unlock()
	s.pacing.Lock()
	defer s.pacing.Unlock()
	return Status{s.pacer.State().String(), n, s.pacer.Running(), s.pacer.Waiting(), s.pacer.Bound()}
}

// login is the options of a session's login.
func (s *Server) login() negotiate.Options {
	return negotiate.Options{Params: s.opt.Params, Digests: true, Portal: 1,
		Target: func(name string) bool { return s.targets[name] != nil },
		Account: func(_, target string) negotiate.Account {
			if t := s.targets[target]; t != nil {
				return t.Account
			}
			return negotiate.Account{} // a discovery session tells names alone
		},
		Challenge: func() []byte {
			b := make([]byte, 16)
			rand.Read(b)
			return b
		}}
}

// enter puts a session in, in place of an older one of the same identity, whose requests are left (session reinstatement,
// RFC 7143, 6.3.5).
func (s *Server) enter(x *session) {
	s.lock.Lock()
	old := s.sessions[x.identity]
	s.sessions[x.identity] = x
	s.lock.Unlock()
	if old != nil {
		s.opt.Log.Info("a session takes the place of another", "initiator", x.identity.initiator, "target", x.identity.target)
		old.conn.Close(errors.New("the initiator has begun the session anew"))
		old.end()
	}
}

func (s *Server) leave(x *session) {
	s.lock.Lock()
	if s.sessions[x.identity] == x {
		delete(s.sessions, x.identity)
	}
	s.lock.Unlock()
}

// pump lets in what may go in now.
func (s *Server) pump() {
	for {
		s.pacing.Lock()
		i := s.pacer.Next()
		changed, state, bound := s.pacer.TakeStateChange(), s.pacer.State(), s.pacer.Bound()
		s.pacing.Unlock()
		if changed {
			s.opt.Log.Info("pace of commands", "state", state.String(), "bound", bound)
		}
		if i == nil {
			return
		}
		i.Owner.(*task).goIn()
	}
}

// others are the sessions with a target, but for one.
func (s *Server) others(x *session) (list []*session) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, o := range s.sessions {
		if o != x && o.target == x.target {
			list = append(list, o)
		}
	}
	return list
}
