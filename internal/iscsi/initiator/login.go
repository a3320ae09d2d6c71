package initiator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"

	"irispost/internal/iscsi"
	"irispost/internal/iscsi/negotiate"
)

const (
	loginTag                   = 1
	currentStageShift          = 2         // position of the current stage (CSG) in the flags of a login request
	maxLoginData               = 64 << 10  // maximum length of a login response's data in bytes
	minSegment                 = 512       // lowest length in bytes that a target may declare
	preferredMaxBurst          = "1048576" // MaxBurstLength, bytes
	preferredFirstBurst        = "262144"  // FirstBurstLength, bytes
	preferredMaxOutstandingR2T = "4"
	digestCRC32C               = "CRC32C"
	chapMD5                    = "5"
	ownChallengeID             = 7
	notUnderstoodValue         = "NotUnderstood"
)

// loginResponse is a target's response to a login request.
type loginResponse struct {
	keys    map[string]string
	transit bool // the target agrees to enter the next stage
}

// exchangeLogin sends a login request with pairs and reads the response.
func (s *Session) exchangeLogin(reader connReader, current, next negotiate.Stage, pairs []iscsi.Pair) (loginResponse, error) {
	flags := byte(current)<<currentStageShift | byte(next)
	if current != next {
		flags |= iscsi.Final
	}
	pdu := s.newRequest(iscsi.LoginRequest, flags, loginTag).SetImmediate().SetData(iscsi.EncodeText(pairs))
	copy(pdu.ISID(), s.options.ISID[:])
	if err := s.write(pdu); err != nil {
		return loginResponse{}, err
	}
	answer, err := iscsi.Read(reader, iscsi.Digests{}, maxLoginData)
	if err != nil {
		return loginResponse{}, err
	}
	if answer.Opcode() != iscsi.LoginResponse {
		return loginResponse{}, fmt.Errorf("iscsi: unexpected response to a login request, opcode %#x", byte(answer.Opcode()))
	}
	if class := answer.Header[iscsi.OffsetStatusClass]; class != 0 {
		detail := answer.Header[iscsi.OffsetStatusDetail]
		return loginResponse{}, &negotiate.Rejection{Class: class, Detail: detail, Reason: "the target says so"}
	}
	s.expStatSN = answer.Uint32(iscsi.OffsetStatSN) + 1
	s.maxCmdSN = answer.Uint32(iscsi.OffsetMaxCmdSN)
	s.TSIH = answer.Uint16(iscsi.OffsetTSIH)
	answers, err := iscsi.DecodeText(answer.Data)
	keys := map[string]string{}
	for _, pair := range answers {
		keys[pair.Key] = pair.Value
	}
	return loginResponse{keys: keys, transit: answer.Final()}, err
}

// login runs the login phase. No other goroutine uses the session yet.
func (s *Session) login(reader connReader) error {
	answer, err := s.exchangeLogin(reader, negotiate.Security, negotiate.Operational, s.securityKeys())
	if err != nil {
		return err
	}
	transit := answer.transit
	if answer.keys["AuthMethod"] == "CHAP" {
		if transit, err = s.authenticate(reader); err != nil {
			return err
		}
	}
	if !transit {
		return errSecurityStageIncomplete
	}
	answer, err = s.exchangeLogin(reader, negotiate.Operational, negotiate.FullFeature, s.operationalKeys())
	if err != nil {
		return err
	}
	if !answer.transit {
		return errLoginIncomplete
	}
	return s.applyOperationalKeys(answer.keys)
}

func (s *Session) securityKeys() []iscsi.Pair {
	pairs := []iscsi.Pair{{Key: "InitiatorName", Value: s.options.Name}}
	if s.options.Target == "" {
		pairs = append(pairs, iscsi.Pair{Key: "SessionType", Value: "Discovery"})
	} else {
		pairs = append(pairs,
			iscsi.Pair{Key: "SessionType", Value: "Normal"},
			iscsi.Pair{Key: "TargetName", Value: s.options.Target})
	}
	methods := "None"
	if s.options.Account.Secret != "" {
		methods = "CHAP,None"
	}
	return append(pairs, iscsi.Pair{Key: "AuthMethod", Value: methods})
}

func (s *Session) operationalKeys() []iscsi.Pair {
	digests := "None"
	if s.options.Digests {
		digests = "CRC32C,None"
	}
	pairs := []iscsi.Pair{
		{Key: negotiate.SessionNameKey, Value: "?"},
		{Key: "HeaderDigest", Value: digests},
		{Key: "DataDigest", Value: digests},
		{Key: "MaxRecvDataSegmentLength", Value: strconv.Itoa(s.options.MaxRecvSegment)},
		{Key: "DefaultTime2Wait", Value: "0"},
		{Key: "DefaultTime2Retain", Value: "0"},
		{Key: "ErrorRecoveryLevel", Value: "0"},
	}
	if s.options.Target == "" {
		return pairs
	}
	return append(pairs,
		iscsi.Pair{Key: "InitialR2T", Value: yesOrNo(s.options.SolicitedOnly)},
		iscsi.Pair{Key: "ImmediateData", Value: yesOrNo(!s.options.SolicitedOnly)},
		iscsi.Pair{Key: "MaxBurstLength", Value: preferredMaxBurst},
		iscsi.Pair{Key: "FirstBurstLength", Value: preferredFirstBurst},
		iscsi.Pair{Key: "MaxOutstandingR2T", Value: preferredMaxOutstandingR2T},
		iscsi.Pair{Key: "MaxConnections", Value: "1"})
}

func yesOrNo(value bool) string {
	if value {
		return "Yes"
	}
	return "No"
}

// applyOperationalKeys applies the parameters that the target returned in the operational stage.
func (s *Session) applyOperationalKeys(keys map[string]string) error {
	s.params.OwnMaxSegment = s.options.MaxRecvSegment
	for key, parameter := range map[string]*int{
		"MaxRecvDataSegmentLength": &s.params.PeerMaxSegment,
		"MaxBurstLength":           &s.params.MaxBurst,
		"FirstBurstLength":         &s.params.FirstBurst,
	} {
		value, answered := keys[key]
		if !answered {
			continue
		}
		number, err := strconv.Atoi(value)
		if err != nil || number < minSegment {
			return fmt.Errorf("iscsi: target returned an invalid parameter: %s=%q", key, value)
		}
		*parameter = number
	}
	s.params.InitialR2T = keys["InitialR2T"] != "No"
	s.params.ImmediateData = keys["ImmediateData"] != "No"
	s.digests = iscsi.Digests{Header: keys["HeaderDigest"] == digestCRC32C, Data: keys["DataDigest"] == digestCRC32C}
	s.name = keys[negotiate.SessionNameKey]
	if s.name == "" || s.name == notUnderstoodValue {
		s.name = s.conn.LocalAddr().String()
	}
	return nil
}

// authenticate answers the target's CHAP challenge, and challenges the target if the account has a secret for it.
// transit reports whether the target has ended the security stage.
func (s *Session) authenticate(reader connReader) (transit bool, err error) {
	account := &s.options.Account
	selected := []iscsi.Pair{{Key: "CHAP_A", Value: chapMD5}}
	answer, err := s.exchangeLogin(reader, negotiate.Security, negotiate.Security, selected)
	if err != nil {
		return false, err
	}
	challenge, err := negotiate.DecodeBinary(answer.keys["CHAP_C"])
	id, idErr := strconv.Atoi(answer.keys["CHAP_I"])
	err = errors.Join(err, idErr)
	if err != nil || answer.keys["CHAP_A"] != chapMD5 {
		return false, fmt.Errorf("iscsi: invalid CHAP challenge from the target: %w", err)
	}
	response := negotiate.CHAPResponse(byte(id), account.Secret, challenge)
	pairs := []iscsi.Pair{{Key: "CHAP_N", Value: account.Name}, {Key: "CHAP_R", Value: negotiate.EncodeBinary(response)}}
	var ownChallenge []byte
	if account.TargetSecret != "" {
		ownChallenge = newChallenge(byte(id), account.TargetSecret, challenge)
		pairs = append(pairs,
			iscsi.Pair{Key: "CHAP_I", Value: strconv.Itoa(ownChallengeID)},
			iscsi.Pair{Key: "CHAP_C", Value: negotiate.EncodeBinary(ownChallenge)})
	}
	answer, err = s.exchangeLogin(reader, negotiate.Security, negotiate.Operational, pairs)
	if err != nil {
		return false, err
	}
	if ownChallenge != nil {
		want := negotiate.CHAPResponse(ownChallengeID, account.TargetSecret, ownChallenge)
		if answer.keys["CHAP_R"] != negotiate.EncodeBinary(want) {
			return false, errTargetNotAuthenticated
		}
	}
	return answer.transit, nil
}

// newChallenge returns a challenge that an impostor cannot predict, because it depends on a secret, besides the
// target's challenge and the time.
func newChallenge(id byte, secret string, challenge []byte) []byte {
	hash := negotiate.CHAPResponse(id, secret, challenge)
	return binary.BigEndian.AppendUint64(hash, uint64(time.Now().UnixNano()))
}
