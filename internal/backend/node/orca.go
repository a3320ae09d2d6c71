package node

import (
	"fmt"
	"math"
	"time"

	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/proto"
)

// Names of the measures that a load report in ORCA form holds for us, in its named_metrics
// (xds.data.orca.v3.OrcaLoadReport). What else it tells is not used: the module measures nodes itself.
const (
	InflightMetric  = "irispost.inflight"   // jobs that the node holds
	LatencyMetric   = "irispost.latency_us" // its recent service time in microseconds, without waiting
	ElsewhereMetric = "irispost.others"     // units served the volume through other gateways since the last answer to this one
)

// reported marks an outcome byte that a report follows.
const reported = 0x80

// longestReport is that of a report in bytes; a longer one does not count.
const longestReport = 16 << 10

// report writes an answer's load report in ORCA form.
func (a *Reply) report() string {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&orcav3.OrcaLoadReport{NamedMetrics: map[string]float64{
		InflightMetric: float64(a.InFlight), LatencyMetric: float64(a.Latency.Microseconds()), ElsewhereMetric: a.UnitsElsewhere}})
	if err != nil {
		return ""
	}
	return string(b)
}

// readReport takes a load report in. One that is wrong changes nothing.
func (a *Reply) readReport(b []byte) error {
	if len(b) > longestReport {
		return fmt.Errorf("a load report of %d bytes, %d may be", len(b), longestReport)
	}
	m := &orcav3.OrcaLoadReport{}
	if err := proto.Unmarshal(b, m); err != nil {
		return fmt.Errorf("a load report: %w", err)
	}
	for name, v := range m.GetNamedMetrics() {
		if math.IsNaN(v) || v < 0 || v > 1e12 {
			return fmt.Errorf("a load report with %s = %v", name, v)
		}
	}
	a.InFlight = int(m.GetNamedMetrics()[InflightMetric])
	a.Latency = time.Duration(m.GetNamedMetrics()[LatencyMetric] * float64(time.Microsecond))
	a.UnitsElsewhere = m.GetNamedMetrics()[ElsewhereMetric]
	return nil
}
