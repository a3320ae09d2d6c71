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
	portalGroup     = 1  // tag of the only portal group
	challengeLength = 16 // bytes
)

// errReinstated closes the connection of a session that was replaced by session reinstatement.
var errReinstated = errors.New("session reinstated by the initiator")

// Server serves targets on one address.
type Server struct {
	options  Options
	targets  map[string]*Target
	listener *packetconn.Server
	ready    chan struct{} // closed once listener is set; connections wait for it
	lastTSIH atomic.Uint32 // target session identifying handles

	lock     sync.Mutex // guards sessions
	sessions map[identity]*session

	pacerLock sync.Mutex // guards pacer and its sessions
	pacer     *pace.Pacer
}

// identity identifies a session (RFC 7143, 4.4.1.1): an initiator has at most one session with a target for each ISID.
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
			return nil, fmt.Errorf("duplicate target %q", target.Name)
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

// Drain closes the command windows of all sessions and requests all initiators to log out.
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

// Close closes all connections and disks. Closing a disk commits its writes.
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

// Status summarizes the state of a server.
type Status struct {
	State    string // state of the pacer: open, slow or closed
	Sessions int
	Running  int // running commands
	Waiting  int // queued commands
	Bound    int // current maximum of running commands
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

// loginOptions returns the options of a login, without SessionName.
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
			return negotiate.Account{} // discovery session: it only lists targets and needs no authentication
		},
		NewChallenge: func() []byte {
			challenge := make([]byte, challengeLength)
			rand.Read(challenge) // never returns an error
			return challenge
		},
	}
}

// addSession adds a session. An existing session with the same identity is closed and its requests are cancelled
// (session reinstatement, RFC 7143, 6.3.5).
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

// otherSessions returns all other sessions with the same target.
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

// startCommands starts all commands that the pacer admits.
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
