package negotiate

import (
	"crypto/md5"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"slices"
	"strconv"
	"strings"

	"irispost/internal/iscsi"
)

// chapState is the state of the initiator's CHAP authentication.
type chapState uint8

const (
	chapNotStarted    chapState = iota // no authentication method has been negotiated
	chapSelected                       // CHAP has been negotiated
	chapChallenged                     // the target has sent its challenge
	chapAuthenticated                  // the initiator has authenticated, or needs no authentication
)

const (
	chapMD5            = "5" // the only supported algorithm
	maxChallengeLength = 1024
	methodNone         = "None"
	methodCHAP         = "CHAP"
)

// processSecurityKey processes a key of the security stage: AuthMethod, with the methods None and CHAP with MD5
// (RFC 7143, 12.1), and the keys of CHAP.
func (l *Login) processSecurityKey(pair iscsi.Pair) ([]iscsi.Pair, *Rejection) {
	switch pair.Key {
	case keyAuthMethod:
		return l.selectAuthMethod(pair)
	case "CHAP_A":
		return l.sendChallenge(pair)
	case "CHAP_N":
		if l.chap != chapChallenged || !equalSecret([]byte(pair.Value), []byte(l.account.Name)) {
			return nil, authenticationFailure("CHAP_N is unknown or out of order")
		}
		l.processed["CHAP_N"] = true
		return nil, nil
	case "CHAP_R":
		return nil, l.checkResponse(pair)
	case "CHAP_I":
		id, rejection := parseNumber(pair, 0, 255)
		l.chapID = byte(id)
		if rejection != nil || l.chap != chapAuthenticated {
			return nil, authenticationFailure("CHAP_I is invalid or out of order")
		}
		l.processed["CHAP_I"] = true
		return nil, nil
	case "CHAP_C":
		return l.respondToChallenge(pair)
	}
	return nil, authenticationFailure("unknown key %s", pair.Key)
}

func (l *Login) selectAuthMethod(pair iscsi.Pair) ([]iscsi.Pair, *Rejection) {
	if l.processed[keyAuthMethod] {
		return nil, initiatorError("key AuthMethod is repeated")
	}
	l.processed[keyAuthMethod] = true
	offered := strings.Split(pair.Value, ",")
	if l.account.Secret == "" && slices.Contains(offered, methodNone) {
		l.chap = chapAuthenticated
		return []iscsi.Pair{{Key: keyAuthMethod, Value: methodNone}}, nil
	}
	if l.account.Secret != "" && slices.Contains(offered, methodCHAP) {
		l.chap = chapSelected
		return []iscsi.Pair{{Key: keyAuthMethod, Value: methodCHAP}}, nil
	}
	return nil, authenticationFailure("AuthMethod: none of the offered methods %.40q is acceptable", pair.Value)
}

func (l *Login) sendChallenge(pair iscsi.Pair) ([]iscsi.Pair, *Rejection) {
	if l.chap != chapSelected || !slices.Contains(strings.Split(pair.Value, ","), chapMD5) {
		return nil, authenticationFailure("CHAP_A=%.40s is out of order or does not offer MD5 (5)", pair.Value)
	}
	l.chap = chapChallenged
	l.challenge = l.options.NewChallenge()
	l.chapID = l.challenge[0]
	return []iscsi.Pair{
		{Key: "CHAP_A", Value: chapMD5},
		{Key: "CHAP_I", Value: strconv.Itoa(int(l.chapID))},
		{Key: "CHAP_C", Value: EncodeBinary(l.challenge)},
	}, nil
}

// checkResponse checks the initiator's response to the target's challenge.
func (l *Login) checkResponse(pair iscsi.Pair) *Rejection {
	got, err := DecodeBinary(pair.Value)
	want := CHAPResponse(l.chapID, l.account.Secret, l.challenge)
	if l.chap != chapChallenged || !l.processed["CHAP_N"] || err != nil || !equalSecret(got, want) {
		return authenticationFailure("CHAP_R is wrong or out of order")
	}
	l.chap = chapAuthenticated
	return nil
}

// respondToChallenge responds to the initiator's challenge. It rejects the target's own challenge sent back: the
// response would be the one that the target expects from the initiator (reflection attack).
func (l *Login) respondToChallenge(pair iscsi.Pair) ([]iscsi.Pair, *Rejection) {
	challenge, err := DecodeBinary(pair.Value)
	inOrder := l.chap == chapAuthenticated && l.processed["CHAP_I"]
	if err != nil || len(challenge) == 0 || len(challenge) > maxChallengeLength || !inOrder || l.account.TargetSecret == "" {
		return nil, authenticationFailure("CHAP_C is invalid or out of order, or the target has no secret for mutual CHAP")
	}
	if equalSecret(challenge, l.challenge) {
		return nil, authenticationFailure("CHAP_C is the target's own challenge")
	}
	response := CHAPResponse(l.chapID, l.account.TargetSecret, challenge)
	return []iscsi.Pair{
		{Key: "CHAP_N", Value: l.account.TargetName},
		{Key: "CHAP_R", Value: EncodeBinary(response)},
	}, nil
}

// equalSecret compares in constant time.
func equalSecret(a, b []byte) bool { return subtle.ConstantTimeCompare(a, b) == 1 }

// CHAPResponse returns the response to a CHAP challenge (RFC 1994, 4.1).
func CHAPResponse(id byte, secret string, challenge []byte) []byte {
	message := append([]byte{id}, secret...)
	message = append(message, challenge...)
	sum := md5.Sum(message)
	return sum[:]
}

// EncodeBinary encodes a binary value in hexadecimal.
func EncodeBinary(value []byte) string { return "0x" + hex.EncodeToString(value) }

var errNotBinary = errors.New("binary value has neither the prefix 0x nor 0b")

// DecodeBinary decodes a binary value in hexadecimal or base64 (RFC 7143, 6.1).
func DecodeBinary(text string) ([]byte, error) {
	switch {
	case strings.HasPrefix(text, "0x"), strings.HasPrefix(text, "0X"):
		return hex.DecodeString(text[2:])
	case strings.HasPrefix(text, "0b"), strings.HasPrefix(text, "0B"):
		return base64.StdEncoding.DecodeString(text[2:])
	}
	return nil, errNotBinary
}
