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

// encodeBody returns a packet's bytes after its length, type and ID.
func encodeBody(t *testing.T, p *sftp.Packet) []byte {
	t.Helper()
	var b strings.Builder
	if err := p.WriteOut(&b); err != nil {
		t.Fatal(err)
	}
	return []byte(b.String())[9:]
}

// decodeReply decodes a reply and fails the test on an error.
func decodeReply(t *testing.T, b []byte) node.Reply {
	t.Helper()
	reply, err := node.DecodeReply(sftp.NewFields(b))
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// encodeMetrics encodes an ORCA load report with the given metrics.
func encodeMetrics(t *testing.T, metrics map[string]float64) []byte {
	t.Helper()
	b, err := proto.Marshal(&orcav3.OrcaLoadReport{NamedMetrics: metrics, CpuUtilization: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// replyWithReport encodes a reply that contains the encoded ORCA load report.
func replyWithReport(t *testing.T, report, data []byte) []byte {
	t.Helper()
	const orcaFlag = 0x80
	p := sftp.New(sftp.ExtendedReply, 1).Byte(orcaFlag | byte(node.Executed)).Byte(byte(node.OK)).Uint64(1).Uint32(2)
	return encodeBody(t, p.Text(string(report)).Text("").Tail(data))
}

func TestReplyIsDecodedAsItWasEncodedInEitherForm(t *testing.T) {
	reply := node.Reply{Outcome: node.Executed, Status: node.NotFound, Version: 7, Shard: 3, InFlight: 5,
		Latency: 1500 * time.Microsecond, UnitsElsewhere: 2.25, Message: "why", Data: []byte("data")}
	for _, orca := range []bool{false, true} {
		reply.ORCA = orca
		got := decodeReply(t, encodeBody(t, reply.Packet(9)))
		got.ORCA = orca
		if !reflect.DeepEqual(got, reply) {
			t.Errorf("reply %+v is decoded as %+v, want an equal reply", reply, got)
		}
	}
}

func TestInvalidReportIsIgnoredAndItsReplyCounts(t *testing.T) {
	for want, report := range map[string][]byte{
		"cannot parse": {0xff},
		"NaN":          encodeMetrics(t, map[string]float64{node.UnitsElsewhereMetric: math.NaN()}),
		"-1":           encodeMetrics(t, map[string]float64{node.InFlightMetric: -1}),
		"+Inf":         encodeMetrics(t, map[string]float64{"anything": math.Inf(1)}),
		"bytes":        make([]byte, 17<<10),
	} {
		reply := decodeReply(t, replyWithReport(t, report, []byte("x")))
		if reply.ReportErr == nil || !strings.Contains(reply.ReportErr.Error(), want) {
			t.Errorf("want a report error that contains %q, got %v", want, reply.ReportErr)
		}
		if reply.Outcome != node.Executed || string(reply.Data) != "x" || reply.UnitsElsewhere+float64(reply.InFlight) != 0 {
			t.Errorf("report that is invalid for %q: reply %+v, want outcome Executed, data \"x\" and a load of zero",
				want, reply)
		}
	}
}

func TestReportWithoutMetricsIsZero(t *testing.T) {
	reply := decodeReply(t, replyWithReport(t, encodeMetrics(t, nil), nil))
	if reply.ReportErr != nil || reply.UnitsElsewhere != 0 {
		t.Errorf("report without metrics: reply %+v, want no report error and 0 units elsewhere", reply)
	}
}

// TestReportOfAStandInNode: the report counts the units that the volume was served through another gateway.
func TestReportOfAStandInNode(t *testing.T) {
	n := startNode(t, standin.Options{ORCA: true})
	c := newClient(t)
	call := node.Call{Gateway: "g1", Volume: 4, Units: 2, RequestID: "a", IdempotencyKey: "a", Op: node.PutObject,
		Name: "o", Data: []byte("x"), Length: 1}
	run(c, n.Addr(), call)
	call.Gateway, call.RequestID, call.IdempotencyKey = "g2", "b", "b"
	reply := run(c, n.Addr(), call)
	if reply.Outcome != node.Executed || reply.UnitsElsewhere != 2 || reply.ReportErr != nil {
		t.Errorf("reply %+v, want outcome Executed, 2 units elsewhere and no report error", reply)
	}
}
