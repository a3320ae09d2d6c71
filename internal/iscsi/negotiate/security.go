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

// chapState is the state of the initiator's authentication by CHAP.
type chapState uint8

const (
	chapNotStarted    chapState = iota // no method was negotiated yet
	chapSelected                       // CHAP is the method
	chapChallenged                     // our challenge is sent
	chapAuthenticated                  // or none is needed
)

const (
	chapMD5            = "5" // the algorithm that is spoken
	maxChallengeLength = 1024
	methodNone         = "None"
	methodCHAP         = "CHAP"
)

// answerSecurityKey answers a key of the security stage: AuthMethod None, or CHAP with MD5 (RFC 7143, 12.1).
func (l *Login) processSecurityKey(pair iscsi.Pair) ([]iscsi.Pair, *Rejection) {
	switch pair.Key {
	case keyAuthMethod:
		return l.selectAuthMethod(pair)
	case "CHAP_A":
		return l.sendChallenge(pair)
	case "CHAP_N":
		if l.chap != chapChallenged || !equalSecret([]byte(pair.Value), []byte(l.account.Name)) {
			return nil, authenticationFailure("CHAP_N is of nobody known")
		}
		l.processed["CHAP_N"] = true
		return nil, nil
	case "CHAP_R":
		return nil, l.checkResponse(pair)
	case "CHAP_I":
		id, rejection := parseNumber(pair, 0, 255)
		l.chapID = byte(id)
		if rejection != nil || l.chap != chapAuthenticated {
			return nil, authenticationFailure("CHAP_I out of its order")
		}
		l.processed["CHAP_I"] = true
		return nil, nil
	case "CHAP_C":
		return l.respondToChallenge(pair)
	}
	return nil, authenticationFailure("%s is not known", pair.Key)
}

func (l *Login) selectAuthMethod(pair iscsi.Pair) ([]iscsi.Pair, *Rejection) {
	if l.processed[keyAuthMethod] {
		return nil, initiatorError("AuthMethod is there twice")
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
	return nil, authenticationFailure("none of %.40q will do", pair.Value)
}

func (l *Login) sendChallenge(pair iscsi.Pair) ([]iscsi.Pair, *Rejection) {
	if l.chap != chapSelected || !slices.Contains(strings.Split(pair.Value, ","), chapMD5) {
		return nil, authenticationFailure("CHAP_A=%.40s: MD5 (5) is spoken", pair.Value)
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

// checkResponse checks the initiator's response to our challenge.
func (l *Login) checkResponse(pair iscsi.Pair) *Rejection {
	got, err := DecodeBinary(pair.Value)
	want := CHAPResponse(l.chapID, l.account.Secret, l.challenge)
	if l.chap != chapChallenged || !l.processed["CHAP_N"] || err != nil || !equalSecret(got, want) {
		return authenticationFailure("CHAP_R does not prove it")
	}
	l.chap = chapAuthenticated
	return nil
}

// answerChallenge answers the initiator's challenge. Our own, sent back, is rejected: its answer is what we ask for.
func (l *Login) respondToChallenge(pair iscsi.Pair) ([]iscsi.Pair, *Rejection) {
	challenge, err := DecodeBinary(pair.Value)
	inOrder := l.chap == chapAuthenticated && l.processed["CHAP_I"]
	if err != nil || len(challenge) == 0 || len(challenge) > maxChallengeLength || !inOrder || l.account.TargetSecret == "" {
		return nil, authenticationFailure("CHAP_C cannot be answered")
	}
	if equalSecret(challenge, l.challenge) {
		return nil, authenticationFailure("our own challenge is sent back")
	}
	response := CHAPResponse(l.chapID, l.account.TargetSecret, challenge)
	return []iscsi.Pair{
		{Key: "CHAP_N", Value: l.account.TargetName},
		{Key: "CHAP_R", Value: EncodeBinary(response)},
	}, nil
}

// equalSecret compares in a time that does not depend on the bytes.
func equalSecret(a, b []byte) bool { return subtle.ConstantTimeCompare(a, b) == 1 }

// CHAPResponse returns the response to a challenge of CHAP (RFC 1994, 4.1).
func CHAPResponse(id byte, secret string, challenge []byte) []byte {
	message := append([]byte{id}, secret...)
	message = append(message, challenge...)
	sum := md5.Sum(message)
	return sum[:]
}

// EncodeBinary writes a binary value in hexadecimal.
func EncodeBinary(value []byte) string { return "0x" + hex.EncodeToString(value) }

var errNotBinary = errors.New("no binary value")

// DecodeBinary reads a binary value in hexadecimal or base 64 (RFC 7143, 6.1).
func DecodeBinary(text string) ([]byte, error) {
	switch {
	case strings.HasPrefix(text, "0x"), strings.HasPrefix(text, "0X"):
		return hex.DecodeString(text[2:])
	case strings.HasPrefix(text, "0b"), strings.HasPrefix(text, "0B"):
		return base64.StdEncoding.DecodeString(text[2:])
	}
	return nil, errNotBinary
}
