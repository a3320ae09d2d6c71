package front

import (
	"fmt"
	"sync"
	"time"

	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// SessionExtension is the extension in VERSION that tells a client the name of its session, which prefixes the IDs of
// its requests.
const SessionExtension = "session@irispost"

// readAheadCheckInterval is how often a session that waits for a slot checks how much the client has sent meanwhile.
const readAheadCheckInterval = 50 * time.Millisecond

// session is the state of a client's connection and its sftp.Handler. Packet is called for one packet at a time, and
// Closed on a goroutine of its own (package packetconn).
type session struct {
	front          *Front
	conn           *sftp.Conn
	gatewaySession *gateway.Session
	slots          chan struct{} // holds one element for each unanswered request
	initialized    bool          // INIT has been received; only Packet uses it

	lock       sync.Mutex // guards the fields below
	lastHandle int        // number of the latest handle; its decimal form is the handle's name
	handles    map[string]*openHandle
	accesses   map[layout.Path][]*rangeAccess // of unanswered requests, in order of arrival
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

// Packet handles one packet. While the client has too many unanswered requests, it blocks and the connection is not
// read.
func (s *session) Packet(frame sftp.Frame) error {
	if !s.initialized {
		return s.initialize(frame)
	}
	id, fields := frame.ID()
	if fields.Err != nil {
		return fmt.Errorf("packet of type %d has no request ID", frame.Type)
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

// initialize handles the first packet, which must be INIT.
func (s *session) initialize(frame sftp.Frame) error {
	if frame.Type != sftp.Init {
		return fmt.Errorf("first packet has type %d, want INIT", frame.Type)
	}
	version, fields := frame.ID() // INIT has the version in place of a request ID
	if fields.Err != nil || version < sftp.ProtocolVersion {
		return fmt.Errorf("client supports SFTP version %d, at least version %d is required", version, sftp.ProtocolVersion)
	}
	s.initialized = true
	s.conn.Send(sftp.NewVersion(posixRenameExtension, "1", fsyncExtension, "1", limitsExtension, "1",
		SessionExtension, s.gatewaySession.Name))
	return nil
}

// acquireSlot waits until the client may have one more unanswered request. It fails if the connection ends, or if the
// client keeps sending and exceeds the connection's read-ahead limit.
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
				return fmt.Errorf("client exceeded the read-ahead limit while %d requests were unanswered", cap(s.slots))
			}
		}
	}
}

// Closed ends the session: it cancels its requests and commits its uncommitted writes in the background.
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

// readPath reads a path from a packet. The volume is nil for the root path, and also if the packet ends too early,
// which the caller detects from fields.
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
