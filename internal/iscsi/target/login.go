package target

import (
	"fmt"

	"irispost/internal/iscsi"
	"irispost/internal/iscsi/negotiate"
)

// Fields of a login's flags (RFC 7143, 11.12).
const (
	currentStageShift = 2
	stageMask         = 3
	currentStageMask  = stageMask << currentStageShift
)

// handleLogin handles a login request. A rejection is answered, and closes the connection.
func (x *session) handleLogin(pdu *iscsi.PDU) error {
	if pdu.Opcode() != iscsi.LoginRequest {
		return fmt.Errorf("a PDU of kind %#x before the login", byte(pdu.Opcode()))
	}
	x.lock.Lock()
	if !x.started {
		x.started = true
		x.expCmdSN = pdu.Uint32(iscsi.OffsetCmdSN)
		x.maxCmdSN = x.expCmdSN
		copy(x.identity.isid[:], pdu.ISID())
	}
	x.lock.Unlock()
	answer, rejection := x.negotiate(pdu)
	out := iscsi.New(iscsi.LoginResponse, 0).SetUint32(iscsi.OffsetTag, pdu.Tag())
	copy(out.ISID(), pdu.ISID())
	if rejection != nil {
		x.rejectLogin(pdu, out, rejection)
		return rejection
	}
	flags := byte(answer.Current) << currentStageShift
	if answer.Transit {
		flags |= iscsi.Final | byte(answer.Next)
	}
	out.SetByte(iscsi.OffsetFlags, flags).SetData(iscsi.EncodeText(answer.Pairs))
	if !answer.Transit || answer.Next != negotiate.FullFeature {
		x.sendLocked(out, true)
		return nil
	}
	x.enterFullFeature(out)
	x.lock.Lock()
	defer x.lock.Unlock()
	x.send(out, true)
	x.digests = iscsi.Digests{Header: x.params.HeaderDigest, Data: x.params.DataDigest} // of what follows
	return nil
}

// negotiate has the login handle a request, unless the request cannot lead to a session here.
func (x *session) negotiate(pdu *iscsi.PDU) (negotiate.Response, *negotiate.Rejection) {
	reject := func(class, detail byte, reason string) (negotiate.Response, *negotiate.Rejection) {
		return negotiate.Response{}, &negotiate.Rejection{Class: class, Detail: detail, Reason: reason}
	}
	switch {
	case pdu.Header[iscsi.OffsetStatus] > 0: // the least version that the initiator speaks
		return reject(negotiate.ClassInitiatorError, negotiate.DetailUnsupportedVersion, "version 0 is spoken")
	case pdu.Uint16(iscsi.OffsetTSIH) != 0:
		return reject(negotiate.ClassInitiatorError, negotiate.DetailTooManyConnections, "a session has one connection")
	case x.server.options.Front.Draining():
		return reject(negotiate.ClassTargetError, negotiate.DetailServiceUnavailable, "the gateway is stopping")
	}
	return x.login.Step(negotiate.Request{
		Current:  negotiate.Stage(pdu.Flags() >> currentStageShift & stageMask),
		Next:     negotiate.Stage(pdu.Flags() & stageMask),
		Transit:  pdu.Final(),
		Continue: pdu.Flags()&iscsi.Continue != 0,
		Text:     pdu.Data,
	})
}

func (x *session) rejectLogin(pdu, out *iscsi.PDU, rejection *negotiate.Rejection) {
	x.server.options.Log.Warn("login rejected",
		"remote", x.conn.RemoteAddr(), "initiator", x.login.Initiator, "err", rejection.Reason)
	out.SetByte(iscsi.OffsetFlags, pdu.Flags()&currentStageMask).
		SetByte(iscsi.OffsetStatusClass, rejection.Class).
		SetByte(iscsi.OffsetStatusDetail, rejection.Detail)
	x.sendLocked(out, true)
	x.conn.WaitSent(sendTimeout)
}

// enterFullFeature begins the full feature phase, before the answer out is sent.
func (x *session) enterFullFeature(out *iscsi.PDU) {
	x.loginTimer.Stop()
	login := x.login
	x.identity.initiator = login.Initiator
	x.identity.target = login.Target
	if !login.Discovery {
		x.target = x.server.targets[login.Target]
		x.server.pacerLock.Lock()
		x.pacing = x.server.pacer.NewSession()
		x.server.pacerLock.Unlock()
	}
	x.lock.Lock()
	x.params = login.Params
	x.tsih = uint16(x.server.lastTSIH.Add(1)%0xffff + 1) // never 0, which is a new session's
	x.setState(stateFullFeature)
	x.lock.Unlock()
	out.SetUint16(iscsi.OffsetTSIH, x.tsih)
	if !login.Discovery {
		x.server.addSession(x)
	}
	x.server.options.Log.Info("session established", "initiator", login.Initiator, "target", login.Target,
		"discovery", login.Discovery, "digests", x.params.HeaderDigest || x.params.DataDigest)
}
