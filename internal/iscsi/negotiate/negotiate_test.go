package negotiate

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"irispost/internal/iscsi"
)

const initiatorName, targetName = "iqn.2026-01.example:host", "iqn.2026-01.example:disk"

// testChallenge replaces the 16 random bytes of a challenge.
const testChallenge = "0123456789abcdef"

func testOptions(account Account) Options {
	return Options{
		Params:         Preferred,
		Digests:        true,
		PortalGroupTag: 1,
		TargetExists:   func(name string) bool { return name == targetName },
		AccountFor:     func(_, _ string) Account { return account },
		NewChallenge:   func() []byte { return []byte(testChallenge) },
	}
}

func encodeText(pairs ...string) []byte {
	var list []iscsi.Pair
	for _, pair := range pairs {
		key, value, _ := strings.Cut(pair, "=")
		list = append(list, iscsi.Pair{Key: key, Value: value})
	}
	return iscsi.EncodeText(list)
}

func formatPairs(pairs []iscsi.Pair) (out []string) {
	for _, pair := range pairs {
		out = append(out, pair.Key+"="+pair.Value)
	}
	return out
}

var nameKeys = []string{"InitiatorName=" + initiatorName, "TargetName=" + targetName, "SessionType=Normal"}

// step sends a request and checks that the response has exactly the wanted pairs, or any pairs if none are given.
func step(t *testing.T, login *Login, current, next Stage, pairs []string, want ...string) Response {
	t.Helper()
	answer, rejection := login.Step(Request{Current: current, Next: next, Transit: next != current, Text: encodeText(pairs...)})
	if rejection != nil {
		t.Fatal(rejection)
	}
	got := formatPairs(answer.Pairs)
	for _, line := range want {
		if !slices.Contains(got, line) {
			t.Errorf("want pair %s, got %q", line, got)
		}
	}
	if len(want) > 0 && len(got) != len(want) {
		t.Errorf("got pairs %q, want %q", got, want)
	}
	return answer
}

// A typical login of a host: the security stage without authentication, then the operational parameters.
func TestLoginWithoutAuthentication(t *testing.T) {
	login := NewLogin(testOptions(Account{}))
	step(t, login, Security, Operational, append(slices.Clone(nameKeys), "AuthMethod=CHAP,None"),
		"AuthMethod=None", "TargetPortalGroupTag=1")
	step(t, login, Operational, FullFeature, []string{
		"HeaderDigest=CRC32C,None", "DataDigest=None", "InitialR2T=No", "ImmediateData=Yes", "MaxRecvDataSegmentLength=262144",
		"MaxBurstLength=16776192", "FirstBurstLength=65536", "MaxOutstandingR2T=1", "MaxConnections=8", "ErrorRecoveryLevel=2",
		"DefaultTime2Wait=2", "DefaultTime2Retain=20", "DataPDUInOrder=No", "DataSequenceInOrder=Yes", "X-com.example=1",
	},
		"HeaderDigest=CRC32C", "DataDigest=None", "InitialR2T=No", "ImmediateData=Yes", "MaxBurstLength=1048576",
		"FirstBurstLength=65536", "MaxOutstandingR2T=1", "MaxConnections=1", "ErrorRecoveryLevel=0", "DefaultTime2Wait=2",
		"DefaultTime2Retain=0", "DataPDUInOrder=Yes", "DataSequenceInOrder=Yes", "X-com.example=NotUnderstood",
		"MaxRecvDataSegmentLength=262144")
	want := Params{HeaderDigest: true, ImmediateData: true, PeerMaxSegment: 262144, OwnMaxSegment: 256 << 10,
		MaxBurst: 1 << 20, FirstBurst: 65536, MaxOutstandingR2T: 1, TimeToWait: 2}
	if login.Params != want || login.Stage() != FullFeature || login.Initiator != initiatorName || login.Target != targetName {
		t.Errorf("got parameters %+v, want %+v, in stage FullFeature with both names", login.Params, want)
	}
}

func TestLoginInTheOperationalStageHasDefaults(t *testing.T) {
	login := NewLogin(testOptions(Account{}))
	step(t, login, Operational, FullFeature, nameKeys, "MaxRecvDataSegmentLength=262144", "TargetPortalGroupTag=1")
	if login.Params.MaxBurst != 262144 || !login.Params.InitialR2T {
		t.Errorf("got parameters %+v, want MaxBurst 262144 and InitialR2T", login.Params)
	}
}

func TestDiscoveryLoginNeedsNoTarget(t *testing.T) {
	login := NewLogin(testOptions(Account{}))
	step(t, login, Operational, FullFeature, []string{"InitiatorName=" + initiatorName, "SessionType=Discovery"},
		"MaxRecvDataSegmentLength=262144")
	if !login.Discovery {
		t.Error("got a normal session, want a discovery session")
	}
}

// One-way and mutual CHAP, and a text that spans two requests.
func TestCHAPOneWayAndMutual(t *testing.T) {
	account := Account{Name: "host", Secret: "twelve chars", TargetName: "disk", TargetSecret: "other secret"}
	for _, mutual := range []bool{false, true} {
		login := NewLogin(testOptions(account))
		first := encodeText(append(slices.Clone(nameKeys), "AuthMethod=None,CHAP")...)
		out, rejection := login.Step(Request{Current: Security, Next: Security, Continue: true, Text: first[:20]})
		if rejection != nil || len(out.Pairs) > 0 {
			t.Fatal(out, rejection)
		}
		out, rejection = login.Step(Request{Current: Security, Next: Security, Text: first[20:]})
		if rejection != nil || !slices.Contains(formatPairs(out.Pairs), "AuthMethod=CHAP") {
			t.Fatal(out, rejection)
		}
		out = step(t, login, Security, Security, []string{"CHAP_A=7,5"})
		got := formatPairs(out.Pairs)
		if len(got) != 3 || got[0] != "CHAP_A=5" {
			t.Fatal(got)
		}
		challenge, err := DecodeBinary(strings.TrimPrefix(got[2], "CHAP_C="))
		if err != nil {
			t.Fatal(err)
		}
		proof := []string{"CHAP_N=host", "CHAP_R=" + EncodeBinary(CHAPResponse(challenge[0], account.Secret, challenge))}
		if mutual {
			proof = append(proof, "CHAP_I=9", "CHAP_C=0bYWJjZGVmZ2g=")
		}
		out = step(t, login, Security, Operational, proof)
		want := "CHAP_R=" + EncodeBinary(CHAPResponse(9, account.TargetSecret, []byte("abcdefgh")))
		if slices.Contains(formatPairs(out.Pairs), want) != mutual {
			t.Errorf("mutual %v: got pairs %q, want the target's CHAP_R only if mutual", mutual, formatPairs(out.Pairs))
		}
		if !out.Transit || login.Stage() != Operational {
			t.Errorf("got %+v, want the transition to stage Operational", out)
		}
	}
}

// Each invalid login is rejected with the status class and detail of RFC 7143, 11.13.5.
func TestRejectedLogins(t *testing.T) {
	secret := Account{Name: "host", Secret: "twelve chars"}
	type request = Request
	securityRequest := func(pairs ...string) request {
		return request{Current: Security, Next: Operational, Transit: true, Text: encodeText(append(slices.Clone(nameKeys), pairs...)...)}
	}
	operationalRequest := func(pairs ...string) request {
		return request{Current: Operational, Next: FullFeature, Transit: true, Text: encodeText(append(slices.Clone(nameKeys), pairs...)...)}
	}
	for name, c := range map[string]struct {
		account       Account
		requests      []request
		class, detail byte
	}{
		"no name":                {Account{}, []request{{Current: Security, Next: Operational, Transit: true}}, 2, 7},
		"no target":              {Account{}, []request{{Current: Security, Text: encodeText("InitiatorName=a")}}, 2, 7},
		"another target":         {Account{}, []request{{Current: Security, Text: encodeText("InitiatorName=a", "TargetName=b")}}, 2, 3},
		"starts in full feature": {Account{}, []request{{Current: FullFeature}}, 2, 0},
		"earlier stage":          {Account{}, []request{operationalRequest(), {Current: Security}}, 2, 0},
		"to the same stage": {Account{}, []request{
			{Current: Operational, Next: Operational, Transit: true, Text: encodeText(nameKeys...)}}, 2, 0},
		"malformed text":         {Account{}, []request{{Current: Security, Text: []byte("what")}}, 2, 0},
		"continue and transit":   {Account{}, []request{{Current: Security, Continue: true, Transit: true}}, 2, 0},
		"unknown session type":   {Account{}, []request{{Current: Security, Text: encodeText("InitiatorName=a", "SessionType=Odd")}}, 2, 0},
		"repeated key":           {Account{}, []request{operationalRequest("InitialR2T=No", "InitialR2T=No")}, 2, 0},
		"invalid boolean":        {Account{}, []request{operationalRequest("InitialR2T=Maybe")}, 2, 0},
		"invalid number":         {Account{}, []request{operationalRequest("MaxBurstLength=much")}, 2, 0},
		"too small":              {Account{}, []request{operationalRequest("MaxRecvDataSegmentLength=511")}, 2, 0},
		"too big":                {Account{}, []request{operationalRequest("MaxRecvDataSegmentLength=16777216")}, 2, 0},
		"unsupported digest":     {Account{}, []request{operationalRequest("DataDigest=MD5")}, 2, 0},
		"key of the target":      {Account{}, []request{operationalRequest("TargetPortalGroupTag=1")}, 2, 0},
		"CHAP after security":    {Account{}, []request{operationalRequest("CHAP_A=5")}, 2, 0},
		"no CHAP offered":        {secret, []request{securityRequest("AuthMethod=None")}, 2, 1},
		"security stage skipped": {secret, []request{operationalRequest()}, 2, 1},
		"CHAP not completed": {secret, []request{securityRequest("AuthMethod=CHAP"),
			{Current: Security, Next: FullFeature, Transit: true, Text: encodeText("CHAP_N=host")}}, 2, 1},
		"unsupported algorithm": {secret, []request{securityRequest("AuthMethod=CHAP"), {Current: Security, Text: encodeText("CHAP_A=6")}}, 2, 1},
		"wrong CHAP_N": {secret, []request{securityRequest("AuthMethod=CHAP"), {Current: Security, Text: encodeText("CHAP_A=5")},
			{Current: Security, Text: encodeText("CHAP_N=you")}}, 2, 1},
		"wrong CHAP_R": {secret, []request{securityRequest("AuthMethod=CHAP"), {Current: Security, Text: encodeText("CHAP_A=5")},
			{Current: Security, Text: encodeText("CHAP_N=host", "CHAP_R=0x00")}}, 2, 1},
		"CHAP_R without CHAP_N": {secret, []request{securityRequest("AuthMethod=CHAP"), {Current: Security, Text: encodeText("CHAP_A=5")},
			{Current: Security, Text: encodeText("CHAP_R=" + EncodeBinary(CHAPResponse('0', secret.Secret, []byte(testChallenge))))}}, 2, 1},
	} {
		login := NewLogin(testOptions(c.account))
		var rejection *Rejection
		for _, r := range c.requests {
			if rejection != nil {
				t.Errorf("%s: rejected before the last request: %v", name, rejection)
			}
			_, rejection = login.Step(r)
		}
		entered := login.Stage() == FullFeature && c.requests[0].Current != Operational
		if rejection == nil || rejection.Class != c.class || rejection.Detail != c.detail || entered {
			t.Errorf("%s: got %v in stage %d, want a rejection with the class and detail of this case, outside FullFeature",
				name, rejection, login.Stage())
		}
	}
}

// Reflection attack: an initiator sends the target's own challenge back, to get the response that the target expects.
func TestReflectedChallengeIsRejected(t *testing.T) {
	account := Account{Name: "host", Secret: "twelve chars", TargetName: "disk", TargetSecret: "other secret"}
	login := NewLogin(testOptions(account))
	step(t, login, Security, Security, append(slices.Clone(nameKeys), "AuthMethod=CHAP"))
	step(t, login, Security, Security, []string{"CHAP_A=5"})
	challenge := []byte(testChallenge)
	response := CHAPResponse(testChallenge[0], account.Secret, challenge)
	_, rejection := login.Step(Request{Current: Security, Text: encodeText("CHAP_N=host", "CHAP_R="+EncodeBinary(response),
		"CHAP_I=1", "CHAP_C="+EncodeBinary(challenge))})
	if rejection == nil || rejection.Detail != DetailAuthentication || !strings.Contains(rejection.Reason, "own challenge") {
		t.Errorf("got %v, want an authentication failure because of the reflected challenge", rejection)
	}
}

func TestLoginIsBoundedInRequestsAndText(t *testing.T) {
	login := NewLogin(testOptions(Account{}))
	for range maxRequests {
		if _, rejection := login.Step(Request{Current: Security, Continue: true}); rejection != nil {
			t.Fatal(rejection)
		}
	}
	if _, rejection := login.Step(Request{Current: Security, Continue: true}); rejection == nil {
		t.Error("login not rejected after maxRequests requests")
	}
	login = NewLogin(testOptions(Account{}))
	long := bytes.Repeat([]byte{'x'}, maxTextLength+1)
	if _, rejection := login.Step(Request{Current: Security, Continue: true, Text: long}); rejection == nil {
		t.Error("login text longer than maxTextLength accepted")
	}
}

// No sequence of requests leaves the security stage without CHAP if the account has a secret.
func FuzzLogin(f *testing.F) {
	f.Add(byte(0x85), encodeText(append(slices.Clone(nameKeys), "AuthMethod=CHAP")...), byte(0x87), encodeText("CHAP_N=host", "CHAP_R=0x00"))
	f.Fuzz(func(t *testing.T, a byte, first []byte, b byte, second []byte) {
		login := NewLogin(testOptions(Account{Name: "host", Secret: "twelve chars"}))
		for _, r := range []struct {
			flags byte
			text  []byte
		}{{a, first}, {b, second}, {0x87, nil}} {
			request := Request{
				Current:  Stage(r.flags >> 2 & 3),
				Next:     Stage(r.flags & 3),
				Transit:  r.flags&0x80 != 0,
				Continue: r.flags&0x40 != 0,
				Text:     r.text,
			}
			if _, rejection := login.Step(request); rejection != nil {
				return
			}
		}
		if login.Stage() != Security {
			t.Errorf("got stage %d without CHAP, want Security", login.Stage())
		}
	})
}
