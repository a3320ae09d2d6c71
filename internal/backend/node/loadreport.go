package node

import (
	"fmt"
	"math"
	"time"

	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/proto"
)

// Names of the metrics of a load report in ORCA form, in its named_metrics (xds.data.orca.v3.OrcaLoadReport). What
// else such a report holds is not used: the scheduler measures nodes itself.
const (
	InFlightMetric       = "irispost.inflight"   // requests that the node holds
	LatencyMetric        = "irispost.latency_us" // its recent service time in microseconds, without waiting
	UnitsElsewhereMetric = "irispost.others"     // as Reply.UnitsElsewhere
)

const (
	orcaFlag      = 0x80     // is set in the outcome byte of a reply whose load report is in ORCA form
	maxReportSize = 16 << 10 // bytes; a longer report is invalid
	maxMetric     = 1e12     // a metric above it is invalid
)

// encodeReport encodes a reply's load report in ORCA form.
func (r *Reply) encodeReport() string {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&orcav3.OrcaLoadReport{NamedMetrics: map[string]float64{
		InFlightMetric:       float64(r.InFlight),
		LatencyMetric:        float64(r.Latency.Microseconds()),
		UnitsElsewhereMetric: r.UnitsElsewhere,
	}})
	if err != nil {
		return "" // a reply without a report
	}
	return string(b)
}

// decodeReport takes a load report in ORCA form into the reply. One that is invalid changes nothing.
func (r *Reply) decodeReport(b []byte) error {
	if len(b) > maxReportSize {
		return fmt.Errorf("a load report of %d bytes, %d may be", len(b), maxReportSize)
	}
	report := &orcav3.OrcaLoadReport{}
	if err := proto.Unmarshal(b, report); err != nil {
		return fmt.Errorf("a load report: %w", err)
	}
	metrics := report.GetNamedMetrics()
	for name, value := range metrics {
		if math.IsNaN(value) || value < 0 || value > maxMetric {
			return fmt.Errorf("a load report with %s = %v", name, value)
		}
	}
	r.InFlight = int(metrics[InFlightMetric])
	r.Latency = time.Duration(metrics[LatencyMetric] * float64(time.Microsecond))
	r.UnitsElsewhere = metrics[UnitsElsewhereMetric]
	return nil
}
