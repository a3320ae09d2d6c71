package node

import (
	"fmt"
	"math"
	"time"

	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/proto"
)

// Names of the metrics in the named_metrics of an ORCA load report (xds.data.orca.v3.OrcaLoadReport). All other
// fields of a report are ignored, because the scheduler measures the nodes itself.
const (
	InFlightMetric       = "irispost.inflight"   // requests that the node holds
	LatencyMetric        = "irispost.latency_us" // its recent service time in microseconds, without time in its queue
	UnitsElsewhereMetric = "irispost.others"     // Reply.UnitsElsewhere
)

const (
	orcaFlag      = 0x80     // set in the outcome byte of a reply with an ORCA load report
	maxReportSize = 16 << 10 // bytes; a longer report is invalid
	maxMetric     = 1e12     // a larger metric is invalid
)

// encodeReport encodes the reply's load report as an ORCA report.
func (r *Reply) encodeReport() string {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&orcav3.OrcaLoadReport{NamedMetrics: map[string]float64{
		InFlightMetric:       float64(r.InFlight),
		LatencyMetric:        float64(r.Latency.Microseconds()),
		UnitsElsewhereMetric: r.UnitsElsewhere,
	}})
	if err != nil {
		return "" // the reply is sent without a report
	}
	return string(b)
}

// decodeReport sets the load fields of the reply from an ORCA report. An invalid report changes nothing.
func (r *Reply) decodeReport(b []byte) error {
	if len(b) > maxReportSize {
		return fmt.Errorf("load report of %d bytes, at most %d bytes are allowed", len(b), maxReportSize)
	}
	report := &orcav3.OrcaLoadReport{}
	if err := proto.Unmarshal(b, report); err != nil {
		return fmt.Errorf("parsing load report: %w", err)
	}
	metrics := report.GetNamedMetrics()
	for name, value := range metrics {
		if math.IsNaN(value) || value < 0 || value > maxMetric {
			return fmt.Errorf("load report: invalid metric %s = %v", name, value)
		}
	}
	r.InFlight = int(metrics[InFlightMetric])
	r.Latency = time.Duration(metrics[LatencyMetric] * float64(time.Microsecond))
	r.UnitsElsewhere = metrics[UnitsElsewhereMetric]
	return nil
}
