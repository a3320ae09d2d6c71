package target

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"irispost/internal/iscsi"
)

const (
	maxOutOfOrder   = 32       // buffered requests that arrived before an earlier one
	maxTextLength   = 64 << 10 // bytes of a text request, over all PDUs that continue it
	continuationTag = 1        // target transfer tag of a response that requests the rest of a text
)

// Errors that close a connection.
var (
	errCommandInDiscovery = errors.New("SCSI command in a discovery session")
	errLoggedOut          = errors.New("logged out")
)

// handleRequest handles a PDU of the full feature phase. Non-immediate requests are executed in the order of their
// CmdSN.
func (sess *session) handleRequest(pdu *iscsi.PDU) error {
	switch pdu.Opcode() {
	case iscsi.DataOut:
		return sess.handleDataOut(pdu)
	case iscsi.SNACK:
		sess.reject(pdu, rejectSNACK) // no PDUs are kept for retransmission
		return nil
	case iscsi.Command, iscsi.TaskManagementRequest, iscsi.TextRequest, iscsi.LogoutRequest, iscsi.NopOut:
	default:
		sess.reject(pdu, rejectProtocolError)
		return fmt.Errorf("unexpected PDU opcode %#x in the full feature phase", byte(pdu.Opcode()))
	}
	if pdu.Immediate() {
		return sess.execute(pdu)
	}
	for next := sess.acceptRequest(pdu); next != nil; next = sess.nextBuffered() {
		if err := sess.execute(next); err != nil {
			return err
		}
	}
	return nil
}

// acceptRequest returns a request that has the expected CmdSN. It buffers later requests, up to maxOutOfOrder, until
// the missing one has arrived. Duplicates, requests outside the command window and those beyond the limit are ignored;
// the initiator has to send them again (RFC 7143, 4.2.2.1).
func (sess *session) acceptRequest(pdu *iscsi.PDU) *iscsi.PDU {
	number := pdu.Uint32(iscsi.OffsetCmdSN)
	sess.lock.Lock()
	defer sess.lock.Unlock()
	if int32(number-sess.expCmdSN) < 0 || int32(number-sess.maxCmdSN) > 0 {
		return nil
	}
	if number != sess.expCmdSN {
		if len(sess.outOfOrder) < maxOutOfOrder {
			sess.outOfOrder[number] = pdu
		}
		return nil
	}
	sess.expCmdSN++
	return pdu
}

// nextBuffered removes and returns the buffered request that has the expected CmdSN, or nil if there is none.
func (sess *session) nextBuffered() *iscsi.PDU {
	sess.lock.Lock()
	defer sess.lock.Unlock()
	pdu := sess.outOfOrder[sess.expCmdSN]
	if pdu != nil {
		delete(sess.outOfOrder, sess.expCmdSN)
		sess.expCmdSN++
	}
	return pdu
}

// execute executes an immediate request, or one that is next in CmdSN order.
func (sess *session) execute(pdu *iscsi.PDU) error {
	switch pdu.Opcode() {
	case iscsi.NopOut:
		sess.answerNop(pdu)
	case iscsi.TextRequest:
		sess.answerText(pdu)
	case iscsi.LogoutRequest:
		return sess.logout(pdu)
	case iscsi.TaskManagementRequest:
		sess.handleTaskManagement(pdu)
	case iscsi.Command:
		if sess.target == nil {
			sess.reject(pdu, rejectProtocolError)
			return errCommandInDiscovery
		}
		sess.handleCommand(pdu)
	}
	return nil
}

// answerNop responds to a NOP-Out ping. A NOP-Out without an initiator task tag needs no response.
func (sess *session) answerNop(pdu *iscsi.PDU) {
	if pdu.Tag() == iscsi.NoTag {
		return
	}
	sess.lock.Lock()
	defer sess.lock.Unlock()
	answer := iscsi.New(iscsi.NopIn, iscsi.Final).
		SetLUN(pdu.LUN()).
		SetUint32(iscsi.OffsetTag, pdu.Tag()).
		SetUint32(iscsi.OffsetTransferTag, iscsi.NoTag).
		SetData(pdu.Data[:min(len(pdu.Data), sess.params.PeerMaxSegment)])
	sess.send(answer, true)
}

// answerText responds to a text request, which may span several PDUs (RFC 7143, 11.10).
func (sess *session) answerText(pdu *iscsi.PDU) {
	more := pdu.Flags()&iscsi.Continue != 0
	sess.lock.Lock()
	sess.text = append(sess.text, pdu.Data...)
	text := sess.text
	if !more || len(text) > maxTextLength {
		sess.text = nil
	}
	sess.lock.Unlock()
	answer := iscsi.New(iscsi.TextResponse, iscsi.Final).
		SetUint32(iscsi.OffsetTag, pdu.Tag()).
		SetUint32(iscsi.OffsetTransferTag, iscsi.NoTag)
	if more {
		if len(text) > maxTextLength {
			sess.reject(pdu, rejectProtocolError)
			return
		}
		answer.SetByte(iscsi.OffsetFlags, 0).SetUint32(iscsi.OffsetTransferTag, continuationTag)
		sess.lockAndSend(answer, true)
		return
	}
	pairs, err := iscsi.DecodeText(text)
	if err != nil {
		sess.reject(pdu, rejectInvalidField)
		return
	}
	answer.SetData(iscsi.EncodeText(sess.answerTextKeys(pairs)))
	if len(answer.Data) > sess.params.PeerMaxSegment {
		sess.reject(pdu, rejectNotSupported) // the targets do not fit into one response
		return
	}
	sess.lockAndSend(answer, true)
}

// answerTextKeys returns the response to the keys of a text request. SendTargets is the only supported key (RFC 7143,
// Appendix C).
func (sess *session) answerTextKeys(pairs []iscsi.Pair) (answers []iscsi.Pair) {
	for _, pair := range pairs {
		if pair.Key != "SendTargets" {
			answers = append(answers, iscsi.Pair{Key: pair.Key, Value: "NotUnderstood"})
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(sess.server.targets)) {
			if !sess.listsTarget(pair.Value, name) {
				continue
			}
			answers = append(answers,
				iscsi.Pair{Key: "TargetName", Value: name},
				iscsi.Pair{Key: "TargetAddress", Value: fmt.Sprintf("%s,%d", sess.server.Addr(), portalGroup)})
		}
	}
	return answers
}

// listsTarget reports whether the response to SendTargets includes a target. A discovery session may list all targets
// or one by its name; a normal session lists only its own.
func (sess *session) listsTarget(requested, name string) bool {
	if sess.target == nil {
		return requested == "All" || requested == name
	}
	return sess.target.Name == name && (requested == "" || requested == name)
}

// Values in logout requests and responses (RFC 7143, 11.14 and 11.15).
const (
	logoutReasonMask         = 0x7f
	logoutCloseConnection    = 1 // close the connection, which ends the session as reason 0 does
	logoutRecoveryNotAllowed = 2 // response to the other reasons
)

// logout sends the response and returns an error that ends the session. A logout for connection recovery is refused,
// and the session continues.
func (sess *session) logout(pdu *iscsi.PDU) error {
	answer := iscsi.New(iscsi.LogoutResponse, iscsi.Final).SetUint32(iscsi.OffsetTag, pdu.Tag())
	sess.lock.Lock()
	if pdu.Flags()&logoutReasonMask > logoutCloseConnection {
		sess.send(answer.SetByte(iscsi.OffsetResponse, logoutRecoveryNotAllowed), true)
		sess.lock.Unlock()
		return nil
	}
	sess.setState(stateLoggingOut)
	answer.SetUint16(iscsi.OffsetTime2Wait, uint16(sess.params.TimeToWait)).
		SetUint16(iscsi.OffsetTime2Retain, uint16(sess.params.TimeToRetain))
	sess.send(answer, true)
	sess.lock.Unlock()
	sess.conn.WaitSent(sendTimeout)
	return errLoggedOut
}

// Values in an asynchronous message that requests a logout (RFC 7143, 11.9.1).
const (
	asyncRequestLogout = 1
	logoutDeadline     = 3 // seconds
)

// requestLogout asks the initiator to log out.
func (sess *session) requestLogout() {
	sess.lock.Lock()
	defer sess.lock.Unlock()
	if sess.state != stateFullFeature {
		return
	}
	sess.send(iscsi.New(iscsi.AsyncMessage, iscsi.Final).
		SetUint32(iscsi.OffsetTag, iscsi.NoTag).
		SetByte(iscsi.OffsetAsyncEvent, asyncRequestLogout).
		SetUint16(iscsi.OffsetAsyncParameter, logoutDeadline), true)
}
