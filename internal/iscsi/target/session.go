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
	maxLoginData           = 8192            // maximum bytes of data in a login PDU
	discoveryCommandWindow = 8               // command window of a discovery session
	sendTimeout            = 1 * time.Second // limit for sending the last response of a session
)

// Errors that close a connection.
var (
	errLoginTimeout = errors.New("login timed out")
	errDataDigest   = errors.New("data digest mismatch")
)

// sessionState is the state of a session. Only session.setState changes it.
type sessionState uint8

const (
	stateLoggingIn sessionState = iota
	stateFullFeature
	stateLoggingOut
	stateEnded
)

// session is an iSCSI session with its only connection. It implements packetconn.Handler: the connection's goroutine
// calls ReadPacket, and Closed is called once when the connection has ended.
type session struct {
	server     *Server
	conn       *packetconn.Conn
	login      *negotiate.Login
	loginTimer *time.Timer // closes the connection if the login exceeds its time limit
	client     *front.Client
	pacing     *pace.Session // nil before the full feature phase, and in a discovery session
	target     *Target       // nil in the same cases as pacing
	identity   identity

	lock            sync.Mutex // guards the fields below and the state of the tasks
	state           sessionState
	digests         iscsi.Digests
	params          negotiate.Params
	tsih            uint16
	started         bool   // the first login request has been received
	expCmdSN        uint32 // next expected CmdSN
	maxCmdSN        uint32 // last CmdSN in the command window
	statSN          uint32
	lastTransferTag uint32 // target transfer tag of the latest R2T
	tasks           map[uint32]*task
	outOfOrder      map[uint32]*iscsi.PDU // requests that arrived before an earlier one, by CmdSN
	text            []byte                // received so far of a text request that spans several PDUs
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

// setState sets the session's state; nothing else does. The caller holds the lock.
func (sess *session) setState(state sessionState) { sess.state = state }

func (sess *session) currentState() sessionState {
	sess.lock.Lock()
	defer sess.lock.Unlock()
	return sess.state
}

// Closed ends the session and cancels its requests.
func (sess *session) Closed(cause error) {
	sess.server.options.Log.Debug("session closed", "initiator", sess.identity.initiator, "err", cause)
	sess.end()
}

// end ends the session. Further calls have no effect.
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

// endTasksAwaitingData ends the tasks whose data can no longer arrive.
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

// ReadPacket reads and handles the next PDU. If it returns an error, the connection is closed.
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

// send sets the sequence numbers of a PDU and sends it. status says that the PDU carries a status and consumes a
// StatSN. The caller holds the lock.
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

// lockAndSend acquires the lock and calls send.
func (sess *session) lockAndSend(pdu *iscsi.PDU, status bool) {
	sess.lock.Lock()
	defer sess.lock.Unlock()
	sess.send(pdu, status)
}

// raiseMaxCmdSN extends the command window as far as the pacer allows. MaxCmdSN never decreases (RFC 7143, 4.2.2.1).
// The caller holds the lock.
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

// Reasons in a Reject PDU (RFC 7143, 11.17.1).
const (
	rejectDataDigest     = 0x02
	rejectSNACK          = 0x03
	rejectProtocolError  = 0x04
	rejectNotSupported   = 0x05
	rejectTaskInProgress = 0x07
	rejectInvalidField   = 0x09
)

// reject sends a Reject PDU with the header of the rejected PDU (RFC 7143, 11.17).
func (sess *session) reject(pdu *iscsi.PDU, reason byte) {
	answer := iscsi.New(iscsi.Reject, iscsi.Final).
		SetByte(iscsi.OffsetResponse, reason).
		SetUint32(iscsi.OffsetTag, iscsi.NoTag).
		SetData(slices.Clone(pdu.Header[:]))
	sess.lockAndSend(answer, true)
}
