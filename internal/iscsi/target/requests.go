package target

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"irispost/internal/iscsi"
)

const (
	maxOutOfOrder = 32       // requests kept whose predecessors have not come
	maxTextLength = 64 << 10 // bytes of a text request in parts
	goOnTag       = 1        // the transfer tag of an answer that asks for the rest of a text
)

// Reasons why a connection is closed.
var (
	errCommandInDiscovery = errors.New("a command in a discovery session")
	errLoggedOut          = errors.New("logged out")
)

// handleRequest handles a PDU of the full feature phase. Requests that have a command number are executed in its order.
func (x *session) handleRequest(pdu *iscsi.PDU) error {
	switch pdu.Opcode() {
	case iscsi.DataOut:
		return x.handleData(pdu)
	case iscsi.SNACK:
		x.reject(pdu, rejectSNACK) // nothing is kept to be sent again
		return nil
	case iscsi.Command, iscsi.TaskManagementRequest, iscsi.TextRequest, iscsi.LogoutRequest, iscsi.NopOut:
	default:
		x.reject(pdu, rejectProtocolError)
		return fmt.Errorf("a PDU of kind %#x in the full feature phase", byte(pdu.Opcode()))
	}
	if pdu.Immediate() {
		return x.execute(pdu)
	}
	for next := x.inOrder(pdu); next != nil; next = x.nextInOrder() {
		if err := x.execute(next); err != nil {
			return err
		}
	}
	return nil
}

// inOrder returns a request if it has the next command number. Others are kept until it has come; repeats, those out of
// the window and too many are ignored, and have to be sent again (RFC 7143, 4.2.2.1).
func (x *session) inOrder(pdu *iscsi.PDU) *iscsi.PDU {
	number := pdu.Uint32(iscsi.OffsetCmdSN)
	x.lock.Lock()
	defer x.lock.Unlock()
	if int32(number-x.expCmdSN) < 0 || int32(number-x.maxCmdSN) > 0 {
		return nil
	}
	if number != x.expCmdSN {
		if len(x.outOfOrder) < maxOutOfOrder {
			x.outOfOrder[number] = pdu
		}
		return nil
	}
	x.expCmdSN++
	return pdu
}

// nextInOrder returns the kept request that has the next command number; nil: it has not come.
func (x *session) nextInOrder() *iscsi.PDU {
	x.lock.Lock()
	defer x.lock.Unlock()
	pdu := x.outOfOrder[x.expCmdSN]
	if pdu != nil {
		delete(x.outOfOrder, x.expCmdSN)
		x.expCmdSN++
	}
	return pdu
}

// execute executes a request whose turn has come.
func (x *session) execute(pdu *iscsi.PDU) error {
	switch pdu.Opcode() {
	case iscsi.NopOut:
		x.answerNop(pdu)
	case iscsi.TextRequest:
		x.answerText(pdu)
	case iscsi.LogoutRequest:
		return x.logout(pdu)
	case iscsi.TaskManagementRequest:
		x.manageTasks(pdu)
	case iscsi.Command:
		if x.target == nil {
			x.reject(pdu, rejectProtocolError)
			return errCommandInDiscovery
		}
		x.handleCommand(pdu)
	}
	return nil
}

// answerNop answers a ping. A NOP-Out without a tag is none.
func (x *session) answerNop(pdu *iscsi.PDU) {
	if pdu.Tag() == iscsi.NoTag {
		return
	}
	x.lock.Lock()
	defer x.lock.Unlock()
	answer := iscsi.New(iscsi.NopIn, iscsi.Final).
		SetLUN(pdu.LUN()).
		SetUint32(iscsi.OffsetTag, pdu.Tag()).
		SetUint32(iscsi.OffsetTransferTag, iscsi.NoTag).
		SetData(pdu.Data[:min(len(pdu.Data), x.params.PeerMaxSegment)])
	x.send(answer, true)
}

// answerText answers a text request, which may come in parts (RFC 7143, 11.10).
func (x *session) answerText(pdu *iscsi.PDU) {
	more := pdu.Flags()&iscsi.Continue != 0
	x.lock.Lock()
	x.text = append(x.text, pdu.Data...)
	text := x.text
	if !more || len(text) > maxTextLength {
		x.text = nil
	}
	x.lock.Unlock()
	answer := iscsi.New(iscsi.TextResponse, iscsi.Final).
		SetUint32(iscsi.OffsetTag, pdu.Tag()).
		SetUint32(iscsi.OffsetTransferTag, iscsi.NoTag)
	if more {
		if len(text) > maxTextLength {
			x.reject(pdu, rejectProtocolError)
			return
		}
		answer.SetByte(iscsi.OffsetFlags, 0).SetUint32(iscsi.OffsetTransferTag, goOnTag)
		x.sendLocked(answer, true)
		return
	}
	pairs, err := iscsi.DecodeText(text)
	if err != nil {
		x.reject(pdu, rejectInvalidField)
		return
	}
	answer.SetData(iscsi.EncodeText(x.answerPairs(pairs)))
	if len(answer.Data) > x.params.PeerMaxSegment {
		x.reject(pdu, rejectNotSupported) // more targets than one answer holds
		return
	}
	x.sendLocked(answer, true)
}

// answerPairs answers the keys of a text request, of which SendTargets is known (RFC 7143, Appendix C).
func (x *session) answerPairs(pairs []iscsi.Pair) (answers []iscsi.Pair) {
	for _, pair := range pairs {
		if pair.Key != "SendTargets" {
			answers = append(answers, iscsi.Pair{Key: pair.Key, Value: "NotUnderstood"})
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(x.server.targets)) {
			if !x.sendsTarget(pair.Value, name) {
				continue
			}
			answers = append(answers,
				iscsi.Pair{Key: "TargetName", Value: name},
				iscsi.Pair{Key: "TargetAddress", Value: fmt.Sprintf("%s,%d", x.server.Addr(), portalGroup)})
		}
	}
	return answers
}

// sendsTarget tells whether a target belongs to the answer to SendTargets: in a discovery session all or the one that
// is named, in another its own only.
func (x *session) sendsTarget(requested, name string) bool {
	if x.target == nil {
		return requested == "All" || requested == name
	}
	return x.target.Name == name && (requested == "" || requested == name)
}

// Logout requests and answers (RFC 7143, 11.14 and 11.15).
const (
	logoutReasonMask         = 0x7f
	logoutCloseConnection    = 1 // the larger of the reasons that end the session
	logoutRecoveryNotAllowed = 2 // the answer to others
)

// logout answers, and ends the session.
func (x *session) logout(pdu *iscsi.PDU) error {
	answer := iscsi.New(iscsi.LogoutResponse, iscsi.Final).SetUint32(iscsi.OffsetTag, pdu.Tag())
	x.lock.Lock()
	if pdu.Flags()&logoutReasonMask > logoutCloseConnection {
		x.send(answer.SetByte(iscsi.OffsetResponse, logoutRecoveryNotAllowed), true)
		x.lock.Unlock()
		return nil
	}
	x.setState(stateLoggingOut)
	answer.SetUint16(iscsi.OffsetTime2Wait, uint16(x.params.TimeToWait)).
		SetUint16(iscsi.OffsetTime2Retain, uint16(x.params.TimeToRetain))
	x.send(answer, true)
	x.lock.Unlock()
	x.conn.WaitSent(sendTimeout)
	return errLoggedOut
}

// An async message that asks for a logout (RFC 7143, 11.9.1).
const (
	asyncRequestLogout = 1
	logoutWithin       = 3 // seconds
)

// requestLogout asks the initiator to log out.
func (x *session) requestLogout() {
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.state != stateFullFeature {
		return
	}
	x.send(iscsi.New(iscsi.AsyncMessage, iscsi.Final).
		SetUint32(iscsi.OffsetTag, iscsi.NoTag).
		SetByte(iscsi.OffsetAsyncEvent, asyncRequestLogout).
		SetUint16(iscsi.OffsetAsyncParameter, logoutWithin), true)
}
