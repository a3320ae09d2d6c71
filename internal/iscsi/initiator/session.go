package initiator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"irispost/internal/iscsi"
	"irispost/internal/iscsi/negotiate"
)

const (
	firstCmdSN     = 1
	readBufferSize = 64 << 10    // bytes
	logoutTimeout  = time.Second // for the logout response
)

// Session is a session with a target over one connection. Its methods may be called concurrently.
type Session struct {
	options Options
	conn    net.Conn
	params  negotiate.Params
	digests iscsi.Digests
	name    string
	TSIH    uint16 // target session identifying handle

	writeLock sync.Mutex // held while a PDU is written; may be acquired while lock is held, not the reverse

	lock                  sync.Mutex // guards the fields below
	stateChanged          *sync.Cond // uses lock; signals that maxCmdSN or err has changed
	lastTag               uint32     // last initiator task tag in use
	cmdSN                 uint32
	maxCmdSN              uint32
	expStatSN             uint32
	pendingCommands       map[uint32]*pendingCommand
	pendingTaskManagement map[uint32]chan byte
	pendingTexts          map[uint32]chan []byte
	pendingPings          map[uint32]chan struct{}
	err                   error // cause of the loss of the session, or nil
	logoutRequested       bool  // by the target, see LogoutRequested
}

// pendingCommand is a command in flight.
type pendingCommand struct {
	opcode        byte
	out, in       []byte
	maxIn         int // maximum length of in, in bytes
	done          chan Reply
	queuedR2Ts    []func() // functions that send the data of queued R2Ts, in the order of the R2Ts
	answeringR2Ts bool     // whether a goroutine runs answerR2Ts
}

// Dial connects to a portal and logs in. If no target is given, it opens a discovery session.
func Dial(ctx context.Context, options Options) (*Session, error) {
	if options.Timeout == 0 {
		options.Timeout = defaultDialTimeout
	}
	if options.MaxRecvSegment == 0 {
		options.MaxRecvSegment = defaultMaxRecvSegment
	}
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", options.Address)
	if err != nil {
		return nil, err
	}
	s := &Session{
		options:               options,
		conn:                  conn,
		params:                negotiate.Defaults,
		cmdSN:                 firstCmdSN,
		maxCmdSN:              firstCmdSN,
		pendingCommands:       map[uint32]*pendingCommand{},
		pendingTaskManagement: map[uint32]chan byte{},
		pendingTexts:          map[uint32]chan []byte{},
		pendingPings:          map[uint32]chan struct{}{},
	}
	s.stateChanged = sync.NewCond(&s.lock)
	reader := connReader{bufio.NewReaderSize(conn, readBufferSize)}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline) // bounds the time of the login
	if err := s.login(reader); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	go s.receive(reader)
	return s, nil
}

// connReader is an iscsi.Source that reads from a buffered connection.
type connReader struct{ *bufio.Reader }

// ReadBinary reads n bytes into newly allocated memory.
func (r connReader) ReadBinary(n int) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(r.Reader, b)
	return b, err
}

// Release does nothing, since ReadBinary allocates.
func (r connReader) Release() error { return nil }

// Name returns the gateway's name for the session, or the local address of the connection if the target sends no
// name.
func (s *Session) Name() string { return s.name }

// LogoutRequested reports whether the target has requested a logout.
func (s *Session) LogoutRequested() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.logoutRequested
}

// Err returns the error that ended the session, or nil if the session is active.
func (s *Session) Err() error {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.err
}

// newTag returns a new initiator task tag. The caller holds the lock.
func (s *Session) newTag() uint32 {
	s.lastTag++
	return s.lastTag
}

// newRequest returns a request PDU with the current CmdSN and ExpStatSN. The caller holds the lock.
func (s *Session) newRequest(opcode iscsi.Opcode, flags byte, tag uint32) *iscsi.PDU {
	return iscsi.New(opcode, flags).
		SetUint32(iscsi.OffsetTag, tag).
		SetUint32(iscsi.OffsetCmdSN, s.cmdSN).
		SetUint32(iscsi.OffsetExpStatSN, s.expStatSN)
}

// write sends a PDU.
func (s *Session) write(pdu *iscsi.PDU) error {
	s.writeLock.Lock()
	defer s.writeLock.Unlock()
	return s.writeLocked(pdu)
}

// writeLocked is write for callers that hold writeLock.
func (s *Session) writeLocked(pdu *iscsi.PDU) error {
	head, tail := pdu.Encode(s.digests).Bytes()
	_, err := (&net.Buffers{head, tail}).WriteTo(s.conn)
	return err
}

// writeOrFail sends a PDU, and ends the session if that fails.
func (s *Session) writeOrFail(pdu *iscsi.PDU) {
	if err := s.write(pdu); err != nil {
		s.fail(err)
	}
}

// fail ends the session and closes the channels of all pending requests. Only the first call has an effect.
func (s *Session) fail(cause error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.err != nil {
		return
	}
	s.err = fmt.Errorf("%w: %w", ErrSessionLost, cause)
	_ = s.conn.Close()
	s.emitEvent(Event{Session: s.name, Lost: cause})
	for _, command := range s.pendingCommands {
		close(command.done)
	}
	for _, answer := range s.pendingTaskManagement {
		close(answer)
	}
	for _, answer := range s.pendingTexts {
		close(answer)
	}
	for _, answer := range s.pendingPings {
		close(answer)
	}
	s.pendingCommands = nil
	s.pendingTaskManagement = nil
	s.pendingTexts = nil
	s.pendingPings = nil
	s.stateChanged.Broadcast()
}

// emitEvent calls the event handler, if there is one. The caller holds the lock.
func (s *Session) emitEvent(event Event) {
	if s.options.OnEvent != nil {
		s.options.OnEvent(event)
	}
}

// Close logs out and closes the connection. It does nothing if the session is lost.
func (s *Session) Close() error {
	s.lock.Lock()
	if s.err != nil {
		s.lock.Unlock()
		return nil
	}
	pdu := s.newRequest(iscsi.LogoutRequest, iscsi.Final, s.newTag()).SetImmediate()
	s.lock.Unlock()
	err := s.write(pdu)
	timeout := time.AfterFunc(logoutTimeout, s.Disconnect)
	defer timeout.Stop()
	s.lock.Lock()
	defer s.lock.Unlock()
	for s.err == nil {
		s.stateChanged.Wait()
	}
	return err
}

// Disconnect closes the connection without a logout, as a crash would.
func (s *Session) Disconnect() { s.fail(net.ErrClosed) }
