package target

import (
	"fmt"

	"irispost/internal/iscsi"
	"irispost/internal/iscsi/negotiate"
)

// Fields of the login flags (RFC 7143, 11.12).
const (
	currentStageShift = 2
	stageMask         = 3
	currentStageMask  = stageMask << currentStageShift
)

// handleLogin handles a login request. A rejected login gets a response, and its error closes the connection.
func (sess *session) handleLogin(pdu *iscsi.PDU) error {
	if pdu.Opcode() != iscsi.LoginRequest {
		return fmt.Errorf("unexpected PDU opcode %#x during the login", byte(pdu.Opcode()))
	}
	sess.lock.Lock()
	if !sess.started {
		sess.started = true
		sess.expCmdSN = pdu.Uint32(iscsi.OffsetCmdSN)
		sess.maxCmdSN = sess.expCmdSN
		copy(sess.identity.isid[:], pdu.ISID())
	}
	sess.lock.Unlock()
	response, rejection := sess.stepLogin(pdu)
	out := iscsi.New(iscsi.LoginResponse, 0).SetUint32(iscsi.OffsetTag, pdu.Tag())
	copy(out.ISID(), pdu.ISID())
	if rejection != nil {
		sess.rejectLogin(pdu, out, rejection)
		return rejection
	}
	flags := byte(response.Current) << currentStageShift
	if response.Transit {
		flags |= iscsi.Final | byte(response.Next)
	}
	out.SetByte(iscsi.OffsetFlags, flags).SetData(iscsi.EncodeText(response.Pairs))
	if !response.Transit || response.Next != negotiate.FullFeature {
		sess.lockAndSend(out, true)
		return nil
	}
	sess.enterFullFeature(out)
	sess.lock.Lock()
	defer sess.lock.Unlock()
	sess.send(out, true)
	sess.digests = iscsi.Digests{Header: sess.params.HeaderDigest, Data: sess.params.DataDigest} // from the next PDU on
	return nil
}

// stepLogin passes a request to the login state machine. It rejects requests that this target cannot serve: another
// protocol version, a further connection of a session, and any login while the gateway is draining.
func (sess *session) stepLogin(pdu *iscsi.PDU) (negotiate.Response, *negotiate.Rejection) {
	reject := func(class, detail byte, reason string) (negotiate.Response, *negotiate.Rejection) {
		return negotiate.Response{}, &negotiate.Rejection{Class: class, Detail: detail, Reason: reason}
	}
	switch {
	case pdu.Header[iscsi.OffsetStatus] > 0: // Version-min: the lowest version that the initiator supports
		return reject(negotiate.ClassInitiatorError, negotiate.DetailUnsupportedVersion, "only protocol version 0 is supported")
	case pdu.Uint16(iscsi.OffsetTSIH) != 0:
		return reject(negotiate.ClassInitiatorError, negotiate.DetailTooManyConnections, "only one connection per session is supported")
	case sess.server.options.Front.Draining():
		return reject(negotiate.ClassTargetError, negotiate.DetailServiceUnavailable, "the gateway is draining")
	}
	return sess.login.Step(negotiate.Request{
		Current:  negotiate.Stage(pdu.Flags() >> currentStageShift & stageMask),
		Next:     negotiate.Stage(pdu.Flags() & stageMask),
		Transit:  pdu.Final(),
		Continue: pdu.Flags()&iscsi.Continue != 0,
		Text:     pdu.Data,
	})
}

func (sess *session) rejectLogin(pdu, out *iscsi.PDU, rejection *negotiate.Rejection) {
	sess.server.options.Log.Warn("login rejected",
		"remote", sess.conn.RemoteAddr(), "initiator", sess.login.Initiator, "err", rejection.Reason)
	out.SetByte(iscsi.OffsetFlags, pdu.Flags()&currentStageMask).
		SetByte(iscsi.OffsetStatusClass, rejection.Class).
		SetByte(iscsi.OffsetStatusDetail, rejection.Detail)
	sess.lockAndSend(out, true)
	sess.conn.WaitSent(sendTimeout)
}

// enterFullFeature begins the full feature phase and sets the TSIH in out, the login response, which is sent
// afterwards.
func (sess *session) enterFullFeature(out *iscsi.PDU) {
	sess.loginTimer.Stop()
	login := sess.login
	sess.identity.initiator = login.Initiator
	sess.identity.target = login.Target
	if !login.Discovery {
		sess.target = sess.server.targets[login.Target]
		sess.server.pacerLock.Lock()
		sess.pacing = sess.server.pacer.NewSession()
		sess.server.pacerLock.Unlock()
	}
	sess.lock.Lock()
	sess.params = login.Params
	sess.tsih = uint16(sess.server.lastTSIH.Add(1)%0xffff + 1) // never 0, which requests a new session
	sess.setState(stateFullFeature)
	sess.lock.Unlock()
	out.SetUint16(iscsi.OffsetTSIH, sess.tsih)
	if !login.Discovery {
		sess.server.addSession(sess)
	}
	sess.server.options.Log.Info("session established", "initiator", login.Initiator, "target", login.Target,
		"discovery", login.Discovery, "digests", sess.params.HeaderDigest || sess.params.DataDigest)
}
