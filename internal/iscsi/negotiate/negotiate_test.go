package negotiate

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"irispost/internal/iscsi"
)

const iqn, disk = "iqn.2026-01.example:host", "iqn.2026-01.example:disk"

func options(a Account) Options {
	return Options{Params: Ours, Digests: true, Portal: 1, Target: func(n string) bool { return n == disk },
		Account: func(_, _ string) Account { return a }, Challenge: func() []byte { return []byte("0123456789abcdef") }}
}

func text(pairs ...string) []byte {
	var list []iscsi.Pair
	for _, p := range pairs {
		k, v, _ := strings.Cut(p, "=")
		list = append(list, iscsi.Pair{Key: k, Value: v})
	}
	return iscsi.Text(list)
}

func words(list []iscsi.Pair) (out []string) {
	for _, p := range list {
		out = append(out, p.Key+"="+p.Value)
	}
	return out
}

var who = []string{"InitiatorName=" + iqn, "TargetName=" + disk, "SessionType=Normal"}

// step does a request that has to be answered with these keys.
func step(t *testing.T, l *Login, now, next Stage, pairs []string, want ...string) Answer {
	t.Helper()
	a, refusal := l.Step(Request{Current: now, Next: next, Transit: next != now, Text: text(pairs...)})
	if refusal != nil {
		t.Fatal(refusal)
	}
	got := words(a.Pairs)
	for _, w := range want {
		if !slices.Contains(got, w) {
			t.Errorf("no %s in %q", w, got)
		}
	}
	if len(want) > 0 && len(got) != len(want) {
		t.Errorf("%q, %q was expected", got, want)
	}
	return a
}

// A login as hosts do it: security without a proof, then what both work with.
func TestPlainLogin(t *testing.T) {
	l := NewLogin(options(Account{}))
	step(t, l, Security, Operational, append(slices.Clone(who), "AuthMethod=CHAP,None"), "AuthMethod=None", "TargetPortalGroupTag=1")
	step(t, l, Operational, Full, []string{"HeaderDigest=CRC32C,None", "DataDigest=None", "InitialR2T=No", "ImmediateData=Yes",
		"MaxRecvDataSegmentLength=262144", "MaxBurstLength=16776192", "FirstBurstLength=65536", "MaxOutstandingR2T=1", "MaxConnections=8",
		"ErrorRecoveryLevel=2", "DefaultTime2Wait=2", "DefaultTime2Retain=20", "DataPDUInOrder=No", "DataSequenceInOrder=Yes", "X-com.example=1"},
		"HeaderDigest=CRC32C", "DataDigest=None", "InitialR2T=No", "ImmediateData=Yes", "MaxBurstLength=1048576", "FirstBurstLength=65536",
		"MaxOutstandingR2T=1", "MaxConnections=1", "ErrorRecoveryLevel=0", "DefaultTime2Wait=2", "DefaultTime2Retain=0", "DataPDUInOrder=Yes",
		"DataSequenceInOrder=Yes", "X-com.example=NotUnderstood", "MaxRecvDataSegmentLength=262144")
	want := Params{HeaderDigest: true, ImmediateData: true, TheirSegment: 262144, OurSegment: 256 << 10, MaxBurst: 1 << 20, FirstBurst: 65536, MaxR2T: 1, Wait: 2}
	if l.Params != want || l.Stage() != Full || l.Initiator != iqn || l.Target != disk {
		t.Errorf("%+v, not %+v", l.Params, want)
	}
	l = NewLogin(options(Account{})) // at once in the second stage, and with nothing asked for
	step(t, l, Operational, Full, who, "MaxRecvDataSegmentLength=262144", "TargetPortalGroupTag=1")
	if l.Params.MaxBurst != 262144 || !l.Params.InitialR2T {
		t.Errorf("%+v", l.Params)
	}
	l = NewLogin(options(Account{}))
	step(t, l, Operational, Full, []string{"InitiatorName=" + iqn, "SessionType=Discovery"}, "MaxRecvDataSegmentLength=262144")
	if !l.Discovery {
		t.Error("no discovery session")
	}
}

// CHAP, one way and both; a text in parts.
func TestChap(t *testing.T) {
	a := Account{Name: "host", Secret: "twelve chars", OurName: "disk", OurSecret: "other secret"}
	for _, mutual := range []bool{false, true} {
		l := NewLogin(options(a))
		first := text(append(slices.Clone(who), "AuthMethod=None,CHAP")...)
		if out, refusal := l.Step(Request{Current: Security, Next: Security, Continue: true, Text: first[:20]}); refusal != nil || len(out.Pairs) > 0 {
			t.Fatal(out, refusal)
		}
		out, refusal := l.Step(Request{Current: Security, Next: Security, Text: first[20:]})
		if refusal != nil || !slices.Contains(words(out.Pairs), "AuthMethod=CHAP") {
			t.Fatal(out, refusal)
		}
		out = step(t, l, Security, Security, []string{"CHAP_A=7,5"})
		got := words(out.Pairs)
		if len(got) != 3 || got[0] != "CHAP_A=5" {
			t.Fatal(got)
		}
		challenge, err := Binary(strings.TrimPrefix(got[2], "CHAP_C="))
		if err != nil {
			t.Fatal(err)
		}
		proof := []string{"CHAP_N=host", "CHAP_R=" + Hex(Proof(challenge[0], a.Secret, challenge))}
		if mutual {
			proof = append(proof, "CHAP_I=9", "CHAP_C=0bYWJjZGVmZ2g=")
		}
		out = step(t, l, Security, Operational, proof)
		if want := "CHAP_R=" + Hex(Proof(9, a.OurSecret, []byte("abcdefgh"))); slices.Contains(words(out.Pairs), want) != mutual {
			t.Errorf("mutual %v: %q", mutual, words(out.Pairs))
		}
		if !out.Transit || l.Stage() != Operational {
			t.Errorf("%+v", out)
		}
	}
}

// What is refused, with the class and detail that the protocol has for it.
func TestRefused(t *testing.T) {
	secret := Account{Name: "host", Secret: "twelve chars"}
	type request = Request
	first := func(pairs ...string) request {
		return request{Current: Security, Next: Operational, Transit: true, Text: text(append(slices.Clone(who), pairs...)...)}
	}
	second := func(pairs ...string) request {
		return request{Current: Operational, Next: Full, Transit: true, Text: text(append(slices.Clone(who), pairs...)...)}
	}
	for name, c := range map[string]struct {
		account       Account
		requests      []request
		class, detail byte
	}{
		"no name":            {Account{}, []request{{Current: Security, Next: Operational, Transit: true}}, 2, 7},
		"no target":          {Account{}, []request{{Current: Security, Text: text("InitiatorName=a")}}, 2, 7},
		"another target":     {Account{}, []request{{Current: Security, Text: text("InitiatorName=a", "TargetName=b")}}, 2, 3},
		"full at once":       {Account{}, []request{{Current: Full}}, 2, 0},
		"a stage back":       {Account{}, []request{second(), {Current: Security}}, 2, 0},
		"to the same stage":  {Account{}, []request{{Current: Operational, Next: Operational, Transit: true, Text: text(who...)}}, 2, 0},
		"odd text":           {Account{}, []request{{Current: Security, Text: []byte("what")}}, 2, 0},
		"on and over":        {Account{}, []request{{Current: Security, Continue: true, Transit: true}}, 2, 0},
		"odd session":        {Account{}, []request{{Current: Security, Text: text("InitiatorName=a", "SessionType=Odd")}}, 2, 0},
		"twice":              {Account{}, []request{second("InitialR2T=No", "InitialR2T=No")}, 2, 0},
		"neither":            {Account{}, []request{second("InitialR2T=Maybe")}, 2, 0},
		"no number":          {Account{}, []request{second("MaxBurstLength=much")}, 2, 0},
		"too small":          {Account{}, []request{second("MaxRecvDataSegmentLength=511")}, 2, 0},
		"too big":            {Account{}, []request{second("MaxRecvDataSegmentLength=16777216")}, 2, 0},
		"no digest":          {Account{}, []request{second("DataDigest=MD5")}, 2, 0},
		"the target's":       {Account{}, []request{second("TargetPortalGroupTag=1")}, 2, 0},
		"chap late":          {Account{}, []request{second("CHAP_A=5")}, 2, 0},
		"no proof":           {secret, []request{first("AuthMethod=None")}, 2, 1},
		"past the proof":     {secret, []request{second()}, 2, 1},
		"chosen, not proven": {secret, []request{first("AuthMethod=CHAP"), {Current: Security, Next: Full, Transit: true, Text: text("CHAP_N=host")}}, 2, 1},
		"another algorithm":  {secret, []request{first("AuthMethod=CHAP"), {Current: Security, Text: text("CHAP_A=6")}}, 2, 1},
		"another's name":     {secret, []request{first("AuthMethod=CHAP"), {Current: Security, Text: text("CHAP_A=5")}, {Current: Security, Text: text("CHAP_N=you")}}, 2, 1},
		"a wrong proof": {secret, []request{first("AuthMethod=CHAP"), {Current: Security, Text: text("CHAP_A=5")},
			{Current: Security, Text: text("CHAP_N=host", "CHAP_R=0x00")}}, 2, 1},
		"a proof without a name": {secret, []request{first("AuthMethod=CHAP"), {Current: Security, Text: text("CHAP_A=5")},
			{Current: Security, Text: text("CHAP_R=" + Hex(Proof('0', secret.Secret, []byte("0123456789abcdef"))))}}, 2, 1},
	} {
		l := NewLogin(options(c.account))
		var refusal *Refusal
		for _, r := range c.requests {
			if refusal != nil {
				t.Errorf("%s: refused too early: %v", name, refusal)
			}
			_, refusal = l.Step(r)
		}
		if refusal == nil || refusal.Class != c.class || refusal.Detail != c.detail || l.Stage() == Full && c.requests[0].Current != Operational {
			t.Errorf("%s: %v, stage %d", name, refusal, l.Stage())
		}
	}
	// Our own challenge sent back proves nothing.
	a := Account{Name: "host", Secret: "twelve chars", OurName: "disk", OurSecret: "other secret"}
	l := NewLogin(options(a))
	for _, request := range []Request{first("AuthMethod=CHAP"), {Current: Security, Text: text("CHAP_A=5")}} {
		if _, refusal := l.Step(request); refusal != nil {
			t.Fatal(refusal)
		}
	}
	c := []byte("0123456789abcdef")
	_, refusal := l.Step(Request{Current: Security, Text: text("CHAP_N=host", "CHAP_R="+Hex(Proof('0', a.Secret, c)), "CHAP_I=1", "CHAP_C="+Hex(c))})
	if refusal == nil || refusal.Detail != 1 {
		t.Errorf("a reflected challenge: %v", refusal)
	}
	// A login that never ends, and one that says too much.
	l = NewLogin(options(Account{}))
	for range mostSteps {
		if _, refusal = l.Step(Request{Current: Security, Continue: true}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if _, refusal = l.Step(Request{Current: Security, Continue: true}); refusal == nil {
		t.Error("no end")
	}
	l = NewLogin(options(Account{}))
	if _, refusal = l.Step(Request{Current: Security, Continue: true, Text: bytes.Repeat([]byte{'x'}, mostText+1)}); refusal == nil {
		t.Error("too much is taken")
	}
}

// Any requests end in a login or a refusal, never full without a proof where one is due.
func FuzzLogin(f *testing.F) {
	f.Add(byte(0x85), text(append(slices.Clone(who), "AuthMethod=CHAP")...), byte(0x87), text("CHAP_N=host", "CHAP_R=0x00"))
	f.Fuzz(func(t *testing.T, a byte, first []byte, b byte, second []byte) {
		l := NewLogin(options(Account{Name: "host", Secret: "twelve chars"}))
		for _, r := range []struct {
			flags byte
			text  []byte
		}{{a, first}, {b, second}, {0x87, nil}} {
			if _, refusal := l.Step(Request{Current: Stage(r.flags >> 2 & 3), Next: Stage(r.flags & 3), Transit: r.flags&0x80 != 0, Continue: r.flags&0x40 != 0,
				Text: r.text}); refusal != nil {
				return
			}
		}
		if l.Stage() != Security {
			t.Errorf("stage %d without a proof", l.Stage())
		}
	})
}
