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
	maxLoginData    = 8192            // bytes of a PDU before the parameters are negotiated
	discoveryWindow = 8               // commands of a discovery session
	sendTimeout     = 1 * time.Second // for the last answer of a session
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
	x := &session{
		server:     server,
		conn:       conn,
		client:     server.options.Front.NewClient(),
		tasks:      map[uint32]*task{},
		outOfOrder: map[uint32]*iscsi.PDU{},
		statSN:     1,
	}
	options := server.loginOptions()
	options.SessionName = x.client.Name
	x.login = negotiate.NewLogin(options)
	x.loginTimer = time.AfterFunc(server.options.Limits.Login, func() {
		if x.currentState() == stateLoggingIn {
			conn.Close(errLoginTimeout)
		}
	})
	return x
}

// setState is the one place where a session's state changes. The caller holds the lock.
func (x *session) setState(state sessionState) { x.state = state }

func (x *session) currentState() sessionState {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.state
}

// Closed ends the session: its requests are cancelled.
func (x *session) Closed(cause error) {
	x.server.options.Log.Debug("session closed", "initiator", x.identity.initiator, "err", cause)
	x.end()
}

// end ends the session, once.
func (x *session) end() {
	x.loginTimer.Stop()
	x.lock.Lock()
	before := x.state
	x.setState(stateEnded)
	x.lock.Unlock()
	if before == stateEnded || before == stateLoggingIn {
		return
	}
	x.server.removeSession(x)
	if x.target == nil {
		return
	}
	x.client.Close()
	x.server.pacerLock.Lock()
	waiting := x.pacing.Close()
	x.server.pacerLock.Unlock()
	for _, command := range waiting {
		command.Owner.(*task).discard()
	}
	x.endTasksThatWaitForData()
}

// endTasksThatWaitForData ends tasks whose data will not come any more.
func (x *session) endTasksThatWaitForData() {
	x.lock.Lock()
	var collecting, gathering []*task
	for _, t := range x.tasks {
		switch t.state {
		case taskCollecting:
			t.setState(taskRunning)
			collecting = append(collecting, t)
		case taskGathering:
			gathering = append(gathering, t)
		}
	}
	x.lock.Unlock()
	for _, t := range collecting {
		t.finish(front.Result{Outcome: front.ClientGone}, nil)
	}
	for _, t := range gathering {
		t.discard()
	}
}

// ReadPacket reads and handles the next PDU. An error closes the connection.
func (x *session) ReadPacket(reader netpoll.Reader) error {
	x.lock.Lock()
	digests, maxData := x.digests, x.params.OwnMaxSegment
	if x.state == stateLoggingIn {
		maxData = maxLoginData
	}
	x.lock.Unlock()
	pdu, err := iscsi.Read(reader, digests, maxData)
	if err != nil {
		return err
	}
	if pdu.BadDataDigest && pdu.Opcode() != iscsi.DataOut {
		x.reject(pdu, rejectDataDigest)
		return errDataDigest
	}
	switch x.currentState() {
	case stateLoggingIn:
		return x.handleLogin(pdu)
	case stateEnded:
		return packetconn.ErrPeerClosed
	}
	return x.handleRequest(pdu)
}

// send fills in the session's numbers and sends a PDU. With status the PDU has a number of its own. The caller holds
// the lock.
func (x *session) send(pdu *iscsi.PDU, status bool) {
	x.raiseMaxCmdSN()
	pdu.SetUint32(iscsi.OffsetExpCmdSN, x.expCmdSN)
	pdu.SetUint32(iscsi.OffsetMaxCmdSN, x.maxCmdSN)
	if pdu.Opcode() != iscsi.DataIn || status {
		pdu.SetUint32(iscsi.OffsetStatSN, x.statSN)
	}
	if status {
		x.statSN++
	}
	x.conn.Send(pdu.Encode(x.digests))
}

// sendLocked is send for callers that do not hold the lock.
func (x *session) sendLocked(pdu *iscsi.PDU, status bool) {
	x.lock.Lock()
	defer x.lock.Unlock()
	x.send(pdu, status)
}

// raiseMaxCmdSN opens the command window as far as the pacer allows. A window never shrinks (RFC 7143, 4.2.2.1). The
// caller holds the lock.
func (x *session) raiseMaxCmdSN() {
	free := int32(1)
	switch {
	case x.pacing != nil:
		x.server.pacerLock.Lock()
		free = int32(x.pacing.Window() - x.pacing.Outstanding())
		x.server.pacerLock.Unlock()
	case x.state != stateLoggingIn:
		free = discoveryWindow
	}
	maxCmdSN := x.expCmdSN + uint32(max(free, 0)) - 1
	if int32(maxCmdSN-x.maxCmdSN) > 0 {
		x.maxCmdSN = maxCmdSN
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
func (x *session) reject(pdu *iscsi.PDU, reason byte) {
	answer := iscsi.New(iscsi.Reject, iscsi.Final).
		SetByte(iscsi.OffsetResponse, reason).
		SetUint32(iscsi.OffsetTag, iscsi.NoTag).
		SetData(slices.Clone(pdu.Header[:]))
	x.sendLocked(answer, true)
}
