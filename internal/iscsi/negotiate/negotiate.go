// Package negotiate is the login of an iSCSI session (RFC 7143, 6 and 13) as a state machine without I/O: keys of each
// request in, keys of each answer out, and in the end what was agreed. It serves both ends.
package negotiate

import (
	"crypto/md5"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"irispost/internal/iscsi"
)

// Stage is where a login stands (RFC 7143, 6.3), by its number on the wire.
type Stage uint8

// The stages of a login.
const (
	Security    Stage = 0
	Operational Stage = 1
	Full        Stage = 3
)

// Params are what a session works with.
type Params struct {
	HeaderDigest, DataDigest bool
	InitialR2T               bool
	ImmediateData            bool
	TheirSegment             int // bytes of data that the other end takes in a PDU
	OurSegment               int // and that we take
	MaxBurst                 int // bytes of a Data-In sequence, or of an R2T
	FirstBurst               int // unsolicited bytes of a write
	MaxR2T                   int // out for one command
	Wait, Retain             int // seconds; DefaultTime2Wait, DefaultTime2Retain
}

// Defaults of the protocol (RFC 7143, 13), and what this end asks for.
var (
	Protocol = Params{InitialR2T: true, ImmediateData: true, TheirSegment: 8192, OurSegment: 8192, MaxBurst: 262144, FirstBurst: 65536,
		MaxR2T: 1, Wait: 2, Retain: 20}
	Ours = Params{InitialR2T: false, ImmediateData: true, OurSegment: 256 << 10, MaxBurst: 1 << 20, FirstBurst: 256 << 10, MaxR2T: 16,
		Wait: 0, Retain: 0}
)

// Account is who may log in. Without a secret, everybody may.
type Account struct {
	Name, Secret       string // of the initiator
	OurName, OurSecret string // of the target, where the initiator asks it to prove itself
}

// Options are a target's side of a login.
type Options struct {
	Params    Params
	Digests   bool                   // digests are offered; they are taken where the initiator wants them
	Portal    int                    // TargetPortalGroupTag
	Target    func(name string) bool // whether there is a target of the name
	Account   func(initiator, target string) Account
	Challenge func() []byte // 16 bytes of chance
	Session   func() string // the session's name in logs and records, for initiators that ask
}

// Refusal is why a login ends (RFC 7143, 11.13.5).
type Refusal struct {
	Class, Detail byte
	Why           string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("login refused, %02x%02x: %s", r.Class, r.Detail, r.Why)
}

func initiatorError(format string, args ...any) *Refusal {
	return &Refusal{2, 0, fmt.Sprintf(format, args...)}
}

// Bounds of a login.
const (
	mostSteps = 32
	mostText  = 64 << 10
)

// chapState is where the proof of who somebody is stands.
type chapState uint8

const (
	noProof chapState = iota // none was asked for yet
	chosen                   // CHAP was taken
	asked                    // our challenge is out
	proven                   // or none is needed
)

// Login is a target's side.
type Login struct {
	opt       Options
	stage     Stage
	begun     bool
	chap      chapState
	challenge []byte
	id        byte
	account   Account
	answered  map[string]bool // keys that were answered: each once
	text      []byte          // of requests that go on
	steps     int
	tellsOurs bool // our segment was told

	Params    Params
	Initiator string
	Target    string
	Discovery bool
}

// NewLogin begins one.
func NewLogin(opt Options) *Login {
	p := Protocol
	p.OurSegment = 8192 // until it is told
	return &Login{opt: opt, Params: p, answered: map[string]bool{}}
}

// Stage tells where it stands.
func (l *Login) Stage() Stage { return l.stage }

// Request is a login request's part that counts here.
type Request struct {
	Current, Next Stage
	Transit       bool
	Continue      bool
	Text          []byte
}

// Answer is what the answer says.
type Answer struct {
	Current, Next Stage
	Transit       bool
	Pairs         []iscsi.Pair
}

// Step takes in a request. A refusal ends the login.
func (l *Login) Step(r Request) (a Answer, refusal *Refusal) {
	if l.steps++; l.steps > mostSteps {
		return a, initiatorError("no end after %d requests", mostSteps)
	}
	if !l.begun {
		if r.Current != Security && r.Current != Operational {
			return a, initiatorError("it begins in stage %d", r.Current)
		}
		l.stage, l.begun = r.Current, true
	}
	if r.Current != l.stage {
		return a, initiatorError("a request of stage %d in stage %d", r.Current, l.stage)
	}
	if l.text = append(l.text, r.Text...); len(l.text) > mostText {
		return a, initiatorError("over %d bytes of text", mostText)
	}
	a.Current, a.Next = l.stage, r.Next
	if r.Continue {
		if r.Transit {
			return a, initiatorError("a text that goes on and a stage that ends")
		}
		return a, nil // more follows
	}
	pairs, err := iscsi.ReadText(l.text)
	if l.text = nil; err != nil {
		return a, initiatorError("%v", err)
	}
	if refusal = l.names(pairs); refusal != nil {
		return a, refusal
	}
	for _, p := range pairs {
		out, refusal := l.pair(p)
		if refusal != nil {
			return a, refusal
		}
		a.Pairs = append(a.Pairs, out...)
	}
	if l.stage == Security && l.chap == noProof && !l.answered["AuthMethod"] && l.account.Secret == "" {
		l.chap = proven
	}
	if r.Transit {
		if refusal = l.transit(r.Next, &a); refusal != nil {
			return a, refusal
		}
	}
	return a, nil
}

// names takes in who asks for what, which the first request has to say.
func (l *Login) names(pairs []iscsi.Pair) *Refusal {
	if l.Initiator != "" {
		return nil
	}
	for _, p := range pairs {
		switch p.Key {
		case "InitiatorName":
			l.Initiator = p.Value
		case "TargetName":
			l.Target = p.Value
		case "SessionType":
			switch p.Value {
			case "Discovery":
				l.Discovery = true
			case "Normal":
			default:
				return initiatorError("SessionType=%s", p.Value)
			}
		}
	}
	switch {
	case l.Initiator == "" || len(l.Initiator) > 223:
		return &Refusal{2, 7, "it does not say its InitiatorName"}
	case !l.Discovery && l.Target == "":
		return &Refusal{2, 7, "it does not say which TargetName"}
	case !l.Discovery && !l.opt.Target(l.Target):
		return &Refusal{2, 3, fmt.Sprintf("there is no target %q", l.Target)}
	}
	l.account = l.opt.Account(l.Initiator, l.Target)
	if l.stage == Operational && l.account.Secret != "" {
		return &Refusal{2, 1, "it does not prove who it is"}
	}
	return nil
}

// transit ends a stage, where that can be.
func (l *Login) transit(next Stage, a *Answer) *Refusal {
	if next != Operational && next != Full || next <= l.stage {
		return initiatorError("stage %d does not follow stage %d", next, l.stage)
	}
	if l.stage == Security {
		if l.account.Secret != "" && l.chap != proven {
			if l.chap == noProof && l.answered["AuthMethod"] {
				return &Refusal{2, 1, "it does not prove who it is"}
			}
			return nil // the stage goes on
		}
	}
	if next == Full && !l.tellsOurs {
		l.tellsOurs = true
		l.Params.OurSegment = l.opt.Params.OurSegment
		a.Pairs = append(a.Pairs, iscsi.Pair{Key: "MaxRecvDataSegmentLength", Value: strconv.Itoa(l.opt.Params.OurSegment)})
	}
	if !l.Discovery && !l.answered["TargetPortalGroupTag"] {
		l.answered["TargetPortalGroupTag"] = true
		a.Pairs = append(a.Pairs, iscsi.Pair{Key: "TargetPortalGroupTag", Value: strconv.Itoa(l.opt.Portal)})
	}
	l.Params.FirstBurst = min(l.Params.FirstBurst, l.Params.MaxBurst)
	l.stage, a.Transit, a.Next = next, true, next
	return nil
}

// pair answers a key.
func (l *Login) pair(p iscsi.Pair) ([]iscsi.Pair, *Refusal) {
	if l.answered[p.Key] && !strings.HasPrefix(p.Key, "CHAP_") {
		return nil, initiatorError("%s is there twice", p.Key)
	}
	if strings.HasPrefix(p.Key, "CHAP_") || p.Key == "AuthMethod" {
		if l.stage != Security {
			return nil, initiatorError("%s outside of the security stage", p.Key)
		}
		return l.secure(p)
	}
	l.answered[p.Key] = true
	switch p.Key {
	case "InitiatorName", "InitiatorAlias", "TargetName", "SessionType":
		return nil, nil // declared
	}
	value, refusal := l.operational(p)
	if refusal != nil || value == "" {
		return nil, refusal
	}
	return []iscsi.Pair{{Key: p.Key, Value: value}}, nil
}

func number(p iscsi.Pair, least, most int) (int, *Refusal) {
	n, err := strconv.ParseInt(p.Value, 0, 32)
	if err != nil || n < int64(least) || n > int64(most) {
		return 0, initiatorError("%s=%.40s is no number from %d to %d", p.Key, p.Value, least, most)
	}
	return int(n), nil
}

func yes(p iscsi.Pair) (bool, *Refusal) {
	if p.Value != "Yes" && p.Value != "No" {
		return false, initiatorError("%s=%.40s is neither Yes nor No", p.Key, p.Value)
	}
	return p.Value == "Yes", nil
}

func word(b bool) string {
	if b {
		return "Yes"
	}
	return "No"
}

// SessionKey asks how the gateway calls the session (a key of our own, RFC 7143, 13.23).
const SessionKey = "X-org.irispost.session"

const most24 = 1<<24 - 1

// operational answers a key of RFC 7143, 13; empty: it needs no answer.
func (l *Login) operational(p iscsi.Pair) (string, *Refusal) {
	lower := func(ours int, to *int, least, most int) (string, *Refusal) {
		n, refusal := number(p, least, most)
		if refusal == nil {
			*to = min(n, ours)
		}
		return strconv.Itoa(*to), refusal
	}
	ours := &l.opt.Params
	switch p.Key {
	case "HeaderDigest", "DataDigest":
		took, refusal := digest(p, l.opt.Digests)
		if refusal != nil {
			return "", refusal
		}
		if p.Key == "HeaderDigest" {
			l.Params.HeaderDigest = took == "CRC32C"
		} else {
			l.Params.DataDigest = took == "CRC32C"
		}
		return took, nil
	case "InitialR2T":
		b, refusal := yes(p)
		l.Params.InitialR2T = b || ours.InitialR2T
		return word(l.Params.InitialR2T), refusal
	case "ImmediateData":
		b, refusal := yes(p)
		l.Params.ImmediateData = b && ours.ImmediateData
		return word(l.Params.ImmediateData), refusal
	case "DataPDUInOrder", "DataSequenceInOrder":
		_, refusal := yes(p)
		return "Yes", refusal
	case "MaxRecvDataSegmentLength":
		n, refusal := number(p, 512, most24)
		l.Params.TheirSegment = n
		return "", refusal
	case "MaxBurstLength":
		return lower(ours.MaxBurst, &l.Params.MaxBurst, 512, most24)
	case "FirstBurstLength":
		out, refusal := lower(ours.FirstBurst, &l.Params.FirstBurst, 512, most24)
		return out, refusal
	case "MaxOutstandingR2T":
		return lower(ours.MaxR2T, &l.Params.MaxR2T, 1, 65535)
	case "MaxConnections":
		_, refusal := number(p, 1, 65535)
		return "1", refusal
	case "ErrorRecoveryLevel":
		_, refusal := number(p, 0, 2)
		return "0", refusal
	case "DefaultTime2Wait":
		n, refusal := number(p, 0, 3600)
		l.Params.Wait = max(n, ours.Wait)
		return strconv.Itoa(l.Params.Wait), refusal
	case "DefaultTime2Retain":
		return lower(ours.Retain, &l.Params.Retain, 0, 3600)
	case SessionKey:
		if l.opt.Session != nil {
			return l.opt.Session(), nil
		}
	case "TargetPortalGroupTag", "TargetAddress", "TargetAlias":
		return "", initiatorError("%s is the target's to say", p.Key)
	}
	return "NotUnderstood", nil
}

func digest(p iscsi.Pair, offered bool) (string, *Refusal) {
	for _, v := range strings.Split(p.Value, ",") {
		if v == "None" || v == "CRC32C" && offered {
			return v, nil
		}
	}
	return "", initiatorError("%s=%.40s has nothing that is spoken here", p.Key, p.Value)
}

// secure answers a key of the security stage: AuthMethod None or CHAP with MD5 (RFC 7143, 12.1).
func (l *Login) secure(p iscsi.Pair) ([]iscsi.Pair, *Refusal) {
	denied := func(format string, args ...any) ([]iscsi.Pair, *Refusal) {
		return nil, &Refusal{2, 1, fmt.Sprintf(format, args...)}
	}
	switch p.Key {
	case "AuthMethod":
		if l.answered[p.Key] {
			return nil, initiatorError("AuthMethod is there twice")
		}
		l.answered[p.Key] = true
		offers := strings.Split(p.Value, ",")
		if l.account.Secret == "" && slices.Contains(offers, "None") {
			l.chap = proven
			return []iscsi.Pair{{Key: p.Key, Value: "None"}}, nil
		}
		if l.account.Secret != "" && slices.Contains(offers, "CHAP") {
			l.chap = chosen
			return []iscsi.Pair{{Key: p.Key, Value: "CHAP"}}, nil
		}
		return denied("none of %.40q will do", p.Value)
	case "CHAP_A":
		if l.chap != chosen || !slices.Contains(strings.Split(p.Value, ","), "5") {
			return denied("CHAP_A=%.40s: MD5 (5) is spoken", p.Value)
		}
		l.chap, l.challenge = asked, l.opt.Challenge()
		l.id = l.challenge[0]
		return []iscsi.Pair{{Key: "CHAP_A", Value: "5"}, {Key: "CHAP_I", Value: strconv.Itoa(int(l.id))}, {Key: "CHAP_C", Value: Hex(l.challenge)}}, nil
	case "CHAP_N":
		if l.chap != asked || subtle.ConstantTimeCompare([]byte(p.Value), []byte(l.account.Name)) != 1 {
			return denied("CHAP_N is of nobody known")
		}
		l.answered["CHAP_N"] = true
		return nil, nil
	case "CHAP_R":
		got, err := Binary(p.Value)
		want := Proof(l.id, l.account.Secret, l.challenge)
		if l.chap != asked || !l.answered["CHAP_N"] || err != nil || subtle.ConstantTimeCompare(got, want) != 1 {
			return denied("CHAP_R does not prove it")
		}
		l.chap = proven
		return nil, nil
	case "CHAP_I":
		n, refusal := number(p, 0, 255)
		if l.id = byte(n); refusal != nil || l.chap != proven {
			return denied("CHAP_I out of its order")
		}
		l.answered["CHAP_I"] = true
		return nil, nil
	case "CHAP_C":
		c, err := Binary(p.Value)
		if err != nil || len(c) == 0 || len(c) > 1024 || l.chap != proven || !l.answered["CHAP_I"] || l.account.OurSecret == "" {
			return denied("CHAP_C cannot be answered")
		}
		if subtle.ConstantTimeCompare(c, l.challenge) == 1 {
			return denied("our own challenge is sent back")
		}
		return []iscsi.Pair{{Key: "CHAP_N", Value: l.account.OurName}, {Key: "CHAP_R", Value: Hex(Proof(l.id, l.account.OurSecret, c))}}, nil
	}
	return denied("%s is not known", p.Key)
}

// Proof is CHAP's answer to a challenge (RFC 1994, 4.1).
func Proof(id byte, secret string, challenge []byte) []byte {
	sum := md5.Sum(append(append([]byte{id}, secret...), challenge...))
	return sum[:]
}

// Hex writes a binary value.
func Hex(b []byte) string { return "0x" + hex.EncodeToString(b) }

// Binary reads a binary value, in hexadecimal or base 64 (RFC 7143, 6.1).
func Binary(s string) ([]byte, error) {
	switch {
	case strings.HasPrefix(s, "0x"), strings.HasPrefix(s, "0X"):
		return hex.DecodeString(s[2:])
	case strings.HasPrefix(s, "0b"), strings.HasPrefix(s, "0B"):
		return base64.StdEncoding.DecodeString(s[2:])
	}
	return nil, errors.New("no binary value")
}
