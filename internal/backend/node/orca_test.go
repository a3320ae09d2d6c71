package node_test

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/proto"

	"irispost/internal/backend/node"
	"irispost/internal/sftp"
	"irispost/internal/standin"
)

// An answer with its load report in ORCA form says the same as one with our own fields.
func TestOrcaReport(t *testing.T) {
	a := node.Reply{Outcome: node.Executed, Status: node.NotFound, Version: 7, Shard: 3, InFlight: 5, Latency: 1500 * time.Microsecond, UnitsElsewhere: 2.25,
		Message: "why", Data: []byte("data")}
	for _, orca := range []bool{false, true} {
		a.ORCA = orca
		got := read(t, body(a.Packet(9)))
		got.ORCA = orca
		if !reflect.DeepEqual(got, a) {
			t.Errorf("%+v comes back as %+v", a, got)
		}
	}
}

// body is a packet's, after the id.
func body(p *sftp.Packet) []byte {
	var b strings.Builder
	p.WriteOut(&b)
	return []byte(b.String())[9:]
}

func read(t *testing.T, b []byte) node.Reply {
	t.Helper()
	a, err := node.DecodeReply(sftp.NewFields(b))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// A report that is wrong does not count, and the answer does.
func TestOrcaRefused(t *testing.T) {
	report := func(m map[string]float64) []byte {
		b, err := proto.Marshal(&orcav3.OrcaLoadReport{NamedMetrics: m, CpuUtilization: 0.5})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for want, b := range map[string][]byte{"cannot parse": {0xff}, "NaN": report(map[string]float64{node.ElsewhereMetric: math.NaN()}),
		"-1": report(map[string]float64{node.InflightMetric: -1}), "+Inf": report(map[string]float64{"anything": math.Inf(1)}),
		"bytes": make([]byte, 17<<10)} {
		p := sftp.New(sftp.ExtendedReply, 1).Byte(0x80 | byte(node.Executed)).Byte(0).Uint64(1).Uint32(2).Text(string(b)).Text("").Tail([]byte("x"))
		a := read(t, body(p))
		if a.ReportErr == nil || !strings.Contains(a.ReportErr.Error(), want) || a.Outcome != node.Executed || string(a.Data) != "x" || a.UnitsElsewhere+float64(a.InFlight) != 0 {
			t.Errorf("%s: %+v", want, a)
		}
	}
	p := sftp.New(sftp.ExtendedReply, 1).Byte(0x80 | byte(node.Executed)).Byte(0).Uint64(1).Uint32(2).Text(string(report(nil))).Text("").Tail(nil)
	if a := read(t, body(p)); a.ReportErr != nil || a.UnitsElsewhere != 0 {
		t.Errorf("%+v", a)
	}
}

// A stand-in's reports come through in either form, with the units that others were served.
func TestOrcaFromNode(t *testing.T) {
	n := start(t, standin.Options{ORCA: true})
	c := client(t)
	call := node.Call{Gateway: "g1", Volume: 4, Units: 2, RequestID: "a", IdempotencyKey: "a", Op: node.PutObject, Name: "o", Data: []byte("x"), Length: 1}
	run(c, n.Addr(), call)
	call.Gateway, call.RequestID, call.IdempotencyKey = "g2", "b", "b"
	if a := run(c, n.Addr(), call); a.Outcome != node.Executed || a.UnitsElsewhere != 2 || a.ReportErr != nil {
		t.Errorf("%+v", a)
	}
}
