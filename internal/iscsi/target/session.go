package target

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"irispost/internal/front"
	"irispost/internal/iscsi"
	"irispost/internal/iscsi/negotiate"
	"irispost/internal/iscsi/pace"
	"irispost/internal/packetconn"
)

const (
	maxLoginData           = 8192            // bytes of a PDU before the parameters are negotiated
	discoveryCommandWindow = 8               // commands of a discovery session
	sendTimeout            = 1 * time.Second // for the last answer of a session
)

// Reasons why a connection is closed.
var (
	errLoginTimeout = errors.New("the login takes too long")
	errDataDigest   = errors.New("a data digest does not fit")
)

// sessionState is the state of a session. Only session.setState changes it.
type sessionState uint8

const (
	stateLoggingIn sessionState = iota
	stateFullFeature
	stateLoggingOut
	stateEnded
)

// session is one initiator's connection. It is the packetconn.Handler of that connection: ReadPacket is called by the
// connection's goroutine, Closed once at its end.
type session struct {
	server     *Server
	conn       *packetconn.Conn
	login      *negotiate.Login
	loginTimer *time.Timer // closes the connection of a login that takes too long
	client     *front.Client
	pacing     *pace.Session // nil before the full feature phase, and in a discovery session
	target     *Target       // likewise
	identity   identity

	lock            sync.Mutex // guards what follows, and the tasks
	state           sessionState
	digests         iscsi.Digests
	params          negotiate.Params
	tsih            uint16
	started         bool   // the first login request has come
	expCmdSN        uint32 // the next command number
	maxCmdSN        uint32 // the last one in the window
	statSN          uint32
	lastTransferTag uint32 // of an R2T
	tasks           map[uint32]*task
	outOfOrder      map[uint32]*iscsi.PDU // requests that came before an earlier one, by command number
	text            []byte                // of a text request in parts
}

func newSession(server *Server, conn *packetconn.Conn) *session {
	sess := &session{
		server:     server,
		conn:       conn,
		client:     server.options.Front.NewClient(),
		tasks:      map[uint32]*task{},
		outOfOrder: map[uint32]*iscsi.PDU{},
		statSN:     1,
	}
	options := server.loginOptions()
	options.SessionName = sess.client.Name
	sess.login = negotiate.NewLogin(options)
	sess.loginTimer = time.AfterFunc(server.options.Limits.Login, func() {
		if sess.currentState() == stateLoggingIn {
			conn.Close(errLoginTimeout)
		}
	})
	return sess
}

// setState is the one place where a session's state changes. The caller holds the lock.
func (sess *session) setState(state sessionState) { sess.state = state }

func (sess *session) currentState() sessionState {
	sess.lock.Lock()
	defer sess.lock.Unlock()
	return sess.state
}

// Closed ends the session: its requests are cancelled.
func (sess *session) Closed(cause error) {
	sess.server.options.Log.Debug("session closed", "initiator", sess.identity.initiator, "err", cause)
	sess.end()
}

// end ends the session, once.
func (sess *session) end() {
	sess.loginTimer.Stop()
	sess.lock.Lock()
	before := sess.state
	sess.setState(stateEnded)
	sess.lock.Unlock()
	if before == stateEnded || before == stateLoggingIn {
		return
	}
	sess.server.removeSession(sess)
	if sess.target == nil {
		return
	}
	sess.client.Close()
	sess.server.pacerLock.Lock()
	waiting := sess.pacing.Close()
	sess.server.pacerLock.Unlock()
	for _, command := range waiting {
		command.Owner.(*task).discard()
	}
	sess.endTasksAwaitingData()
}

// endTasksThatWaitForData ends tasks whose data will not come any more.
func (sess *session) endTasksAwaitingData() {
	sess.lock.Lock()
	var receivingSolicited, receivingUnsolicited []*task
	for _, t := range sess.tasks {
		switch t.state {
		case taskReceivingSolicited:
			t.setState(taskRunning)
			receivingSolicited = append(receivingSolicited, t)
		case taskReceivingUnsolicited:
			receivingUnsolicited = append(receivingUnsolicited, t)
		}
	}
	sess.lock.Unlock()
	for _, t := range receivingSolicited {
		t.finish(front.Result{Outcome: front.ClientGone}, nil)
	}
	for _, t := range receivingUnsolicited {
		t.discard()
	}
}

// ReadPacket reads and handles the next PDU. An error closes the connection.
func (sess *session) ReadPacket(reader netpoll.Reader) error {
	sess.lock.Lock()
	digests, maxData := sess.digests, sess.params.OwnMaxSegment
	if sess.state == stateLoggingIn {
		maxData = maxLoginData
	}
	sess.lock.Unlock()
	pdu, err := iscsi.Read(reader, digests, maxData)
	if err != nil {
		return err
	}
	if pdu.BadDataDigest && pdu.Opcode() != iscsi.DataOut {
		sess.reject(pdu, rejectDataDigest)
		return errDataDigest
	}
	switch sess.currentState() {
	case stateLoggingIn:
		return sess.handleLogin(pdu)
	case stateEnded:
		return packetconn.ErrPeerClosed
	}
	return sess.handleRequest(pdu)
}

// send fills in the session's numbers and sends a PDU. With status the PDU has a number of its own. The caller holds
// the lock.
func (sess *session) send(pdu *iscsi.PDU, status bool) {
	sess.raiseMaxCmdSN()
	pdu.SetUint32(iscsi.OffsetExpCmdSN, sess.expCmdSN)
	pdu.SetUint32(iscsi.OffsetMaxCmdSN, sess.maxCmdSN)
	if pdu.Opcode() != iscsi.DataIn || status {
		pdu.SetUint32(iscsi.OffsetStatSN, sess.statSN)
	}
	if status {
		sess.statSN++
	}
	sess.conn.Send(pdu.Encode(sess.digests))
}

// sendLocked is send for callers that do not hold the lock.
func (sess *session) lockAndSend(pdu *iscsi.PDU, status bool) {
	sess.lock.Lock()
	defer sess.lock.Unlock()
	sess.send(pdu, status)
}

// raiseMaxCmdSN opens the command window as far as the pacer allows. A window never shrinks (RFC 7143, 4.2.2.1). The
// caller holds the lock.
func (sess *session) raiseMaxCmdSN() {
	free := int32(1)
	switch {
	case sess.pacing != nil:
		sess.server.pacerLock.Lock()
		free = int32(sess.pacing.Window() - sess.pacing.Outstanding())
		sess.server.pacerLock.Unlock()
	case sess.state != stateLoggingIn:
		free = discoveryCommandWindow
	}
	maxCmdSN := sess.expCmdSN + uint32(max(free, 0)) - 1
	if int32(maxCmdSN-sess.maxCmdSN) > 0 {
		sess.maxCmdSN = maxCmdSN
	}
}

// Reasons of a Reject (RFC 7143, 11.17.1).
const (
	rejectDataDigest     = 0x02
	rejectSNACK          = 0x03
	rejectProtocolError  = 0x04
	rejectNotSupported   = 0x05
	rejectTaskInProgress = 0x07
	rejectInvalidField   = 0x09
)

// reject answers a PDU that cannot be handled (RFC 7143, 11.17).
func (sess *session) reject(pdu *iscsi.PDU, reason byte) {
	answer := iscsi.New(iscsi.Reject, iscsi.Final).
		SetByte(iscsi.OffsetResponse, reason).
		SetUint32(iscsi.OffsetTag, iscsi.NoTag).
		SetData(slices.Clone(pdu.Header[:]))
	sess.lockAndSend(answer, true)
}
