package front

import (
	"fmt"
	"sync"
	"time"

	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// SessionExtension tells a client in VERSION the name of its connection, with which the IDs of its requests begin.
const SessionExtension = "session@irispost"

// readAheadCheckInterval is how often a session that waits for a slot checks what the client has sent meanwhile.
const readAheadCheckInterval = 50 * time.Millisecond

// session is one client's connection. It is the sftp.Handler of that connection: Packet and Closed are called by the
// connection's reading goroutine, one after the other.
type session struct {
	front          *Front
	conn           *sftp.Conn
	gatewaySession *gateway.Session
	slots          chan struct{} // one for each unanswered request
	initialized    bool          // INIT has been read; only Packet uses it

	lock       sync.Mutex // guards what follows
	lastHandle int
	handles    map[string]*openHandle
	accesses   map[layout.Path][]*rangeAccess // of unanswered requests, in the order of their arrival
}

func newSession(front *Front, conn *sftp.Conn) *session {
	return &session{
		front:          front,
		conn:           conn,
		gatewaySession: gateway.NewSession(front.newSessionName()),
		handles:        map[string]*openHandle{},
		accesses:       map[layout.Path][]*rangeAccess{},
		slots:          make(chan struct{}, max(front.options.Limits.Outstanding, 1)),
	}
}

// Packet handles one packet. It blocks, and with it the reading of the connection, while the client has too many
// unanswered requests.
func (s *session) Packet(frame sftp.Frame) error {
	if !s.initialized {
		return s.initialize(frame)
	}
	id, fields := frame.ID()
	if fields.Err != nil {
		return fmt.Errorf("a packet of type %d without an id", frame.Type)
	}
	if err := s.acquireSlot(); err != nil {
		return err
	}
	req := newRequest(s, id)
	s.front.inFlight.begin()
	if s.front.draining.Load() {
		req.answer(nil, rejection(0, "this gateway is stopping, another may serve you"))
		return nil
	}
	work := s.prepare(req, frame.Type, fields)
	if work == nil {
		return nil // answered
	}
	go req.run(work)
	return nil
}

// initialize answers the first packet, which has to be INIT.
func (s *session) initialize(frame sftp.Frame) error {
	if frame.Type != sftp.Init {
		return fmt.Errorf("the first packet is of type %d, not INIT", frame.Type)
	}
	version, fields := frame.ID() // INIT has the version in the place of an ID
	if fields.Err != nil || version < sftp.ProtocolVersion {
		return fmt.Errorf("the client speaks version %d, version %d is needed", version, sftp.ProtocolVersion)
	}
	s.initialized = true
	s.conn.Send(sftp.NewVersion(posixRenameExtension, "1", fsyncExtension, "1", limitsExtension, "1",
		SessionExtension, s.gatewaySession.Name))
	return nil
}

// acquireSlot waits until the client may have one more unanswered request. It fails where the connection ends, or where
// the client keeps on sending past the connection's limit of unread bytes.
func (s *session) acquireSlot() error {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	ticker := time.NewTicker(readAheadCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case s.slots <- struct{}{}:
			return nil
		case <-s.conn.Done():
			return s.conn.Err()
		case <-ticker.C:
			if s.conn.ReadAheadExceeded() {
				return fmt.Errorf("the client sends on while %d requests wait for their answers", cap(s.slots))
			}
		}
	}
}

// Closed ends the session: its requests are cancelled, and what it wrote is committed in the background.
func (s *session) Closed(cause error) {
	s.front.options.Loop.CloseSession(s.gatewaySession)
	s.front.options.Log.Debug("session closed", "session", s.gatewaySession.Name, "err", cause)
	files := s.takeFileHandles()
	s.front.inFlight.begin()
	go func() {
		defer s.front.inFlight.end()
		for _, handle := range files {
			if err := s.front.backgroundTask().commit(handle.file); err != nil {
				s.front.options.Log.Warn("commit of a closed session's writes failed",
					"path", handle.path.String(), "err", err.message)
			}
			handle.file.release()
		}
	}()
}

// readPath reads a path from a packet. The volume is nil for the root of all volumes, and where the packet ends too
// early, which the caller sees by fields.
func (s *session) readPath(fields *sftp.Fields) (layout.Path, *Volume, *failure) {
	text := fields.Text()
	if fields.Err != nil {
		return layout.Path{}, nil, nil
	}
	path, err := parsePath(text)
	if err != nil || path.Volume == "" {
		return path, nil, err
	}
	volume, err := s.front.findVolume(path)
	return path, volume, err
}
