package target

import (
	"crypto/rand"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"irispost/internal/iscsi/negotiate"
	"irispost/internal/iscsi/pace"
	"irispost/internal/packetconn"
)

const (
	portalGroup     = 1  // the one portal group that there is
	challengeLength = 16 // bytes
)

// errReinstated closes a connection whose session another has replaced.
var errReinstated = errors.New("the initiator has begun the session anew")

// Server serves targets at an address.
type Server struct {
	options  Options
	targets  map[string]*Target
	listener *packetconn.Server
	ready    chan struct{} // closed when listener is set
	lastTSIH atomic.Uint32 // target session identifying handles

	lock     sync.Mutex // guards sessions
	sessions map[identity]*session

	pacerLock sync.Mutex // guards pacer and its sessions
	pacer     *pace.Pacer
}

// identity is what identifies a session (RFC 7143, 4.4.1.1): an initiator has one of an ISID with a target.
type identity struct {
	initiator, target string
	isid              [6]byte
}

// Listen starts a server.
func Listen(addr string, options Options) (*Server, error) {
	if options.Params == (negotiate.Params{}) {
		options.Params = negotiate.Preferred
	}
	limits := options.Limits
	options.Params.OwnMaxSegment = min(options.Params.OwnMaxSegment, limits.Wire.MaxPacket)
	s := &Server{
		options:  options,
		targets:  map[string]*Target{},
		sessions: map[identity]*session{},
		pacer:    pace.New(limits.Pace),
		ready:    make(chan struct{}),
	}
	for _, target := range options.Targets {
		if s.targets[target.Name] != nil {
			return nil, fmt.Errorf("target %q is there twice", target.Name)
		}
		s.targets[target.Name] = target
	}
	newHandler := func(conn *packetconn.Conn) packetconn.Handler {
		<-s.ready
		return newSession(s, conn)
	}
	listener, err := packetconn.Listen(addr, limits.Wire, limits.Connections, newHandler)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	close(s.ready)
	return s, nil
}

// Addr returns the address that initiators connect to.
func (s *Server) Addr() string { return s.listener.Addr() }

// Drain closes all command windows and asks all initiators to log out.
func (s *Server) Drain() {
	s.pacerLock.Lock()
	s.pacer.Close()
	s.pacerLock.Unlock()
	s.lock.Lock()
	sessions := slices.Collect(maps.Values(s.sessions))
	s.lock.Unlock()
	for _, session := range sessions {
		session.requestLogout()
	}
}

// CloseAbruptly closes all connections without a logout, as a crash would.
func (s *Server) CloseAbruptly() { s.listener.Close() }

// Close closes all connections, and commits what was written.
func (s *Server) Close() error {
	s.listener.Close()
	var err error
	for _, target := range s.options.Targets {
		for _, unit := range target.Units {
			if disk := unit.disk.Load(); disk != nil {
				err = errors.Join(err, disk.Close())
			}
		}
	}
	return err
}

// Status is a summary of a server.
type Status struct {
	State    string // of the pacer: open, slow or closed
	Sessions int
	Running  int // commands
	Waiting  int // commands
	Bound    int // of running commands
}

// Status returns a summary of the server.
func (s *Server) Status() Status {
	s.lock.Lock()
	sessions := len(s.sessions)
	s.lock.Unlock()
	s.pacerLock.Lock()
	defer s.pacerLock.Unlock()
	return Status{
		State:    s.pacer.State().String(),
		Sessions: sessions,
		Running:  s.pacer.Running(),
		Waiting:  s.pacer.Waiting(),
		Bound:    s.pacer.Bound(),
	}
}

// loginOptions returns the options of a session's login, but for the session's name.
func (s *Server) loginOptions() negotiate.Options {
	return negotiate.Options{
		Params:         s.options.Params,
		Digests:        true,
		PortalGroupTag: portalGroup,
		TargetExists:   func(name string) bool { return s.targets[name] != nil },
		AccountFor: func(_, target string) negotiate.Account {
			if t := s.targets[target]; t != nil {
				return t.Account
			}
			return negotiate.Account{} // a discovery session, which is told names alone
		},
		NewChallenge: func() []byte {
			challenge := make([]byte, challengeLength)
			rand.Read(challenge) // never fails
			return challenge
		},
	}
}

// addSession adds a session. One of the same identity is closed, and its requests are cancelled (session reinstatement,
// RFC 7143, 6.3.5).
func (s *Server) addSession(sess *session) {
	s.lock.Lock()
	replaced := s.sessions[sess.identity]
	s.sessions[sess.identity] = sess
	s.lock.Unlock()
	if replaced == nil {
		return
	}
	s.options.Log.Info("session reinstated", "initiator", sess.identity.initiator, "target", sess.identity.target)
	replaced.conn.Close(errReinstated)
	replaced.end()
}

func (s *Server) removeSession(sess *session) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.sessions[sess.identity] == sess {
		delete(s.sessions, sess.identity)
	}
}

// otherSessions returns the sessions with a session's target but itself.
func (s *Server) otherSessions(sess *session) (others []*session) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, session := range s.sessions {
		if session != sess && session.target == sess.target {
			others = append(others, session)
		}
	}
	return others
}

// startCommands starts all commands that the pacer lets run.
func (s *Server) startCommands() {
	for {
		s.pacerLock.Lock()
		command := s.pacer.Next()
		changed, state, bound := s.pacer.TakeStateChange(), s.pacer.State(), s.pacer.Bound()
		s.pacerLock.Unlock()
		if changed {
			s.options.Log.Info("command pacing", "state", state.String(), "bound", bound)
		}
		if command == nil {
			return
		}
		command.Owner.(*task).start()
	}
}
