package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// table writes one row per case. Flush reports write errors.
type table struct {
	*tabwriter.Writer
}

var columns = []string{
	"request", "bytes", "out", "straight/s", "through/s", "ratio", "p50 added us", "p99 added us", "gateway cpu us",
	"captured/through", "followed/through", "failed",
}

func newTable(out io.Writer) table {
	t := table{tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)}
	t.writeRow(columns...)
	return t
}

func (t table) writeRow(cells ...string) {
	_, _ = fmt.Fprintln(t, strings.Join(cells, "\t")+"\t") // Flush reports the error
}

// writeCase writes the row of a case, with medians over its rounds.
func (t table) writeCase(testCase testCase, results caseResults) {
	rate := func(r loadResult) float64 { return r.rate }
	p50 := func(r loadResult) float64 { return r.p50 }
	p99 := func(r loadResult) float64 { return r.p99 }
	cpu := func(r loadResult) float64 { return r.cpu }
	directRate, throughRate := median(results.direct, rate), median(results.through, rate)
	t.writeRow(
		testCase.name,
		fmt.Sprint(testCase.bytes),
		fmt.Sprint(testCase.outstanding),
		fmt.Sprintf("%.0f", directRate),
		fmt.Sprintf("%.0f", throughRate),
		fmt.Sprintf("%.2f", throughRate/directRate),
		fmt.Sprintf("%.0f", median(results.through, p50)-median(results.direct, p50)),
		fmt.Sprintf("%.0f", median(results.through, p99)-median(results.direct, p99)),
		fmt.Sprintf("%.1f", median(results.through, cpu)),
		fmt.Sprintf("%.2f", medianRatio(results.captured, results.through)),
		fmt.Sprintf("%.2f", medianRatio(results.following, results.through)),
		fmt.Sprint(results.failed()),
	)
}

// median returns the median of a value over results. For an even number of results it is the larger middle value.
func median(results []loadResult, value func(loadResult) float64) float64 {
	var values []float64
	for _, result := range results {
		values = append(values, value(result))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// medianRatio returns the median of the ratios of rates. Each ratio is of two measurements of the same round, so that a
// machine that becomes slower during the run has little effect on it.
func medianRatio(results, base []loadResult) float64 {
	var ratios []float64
	for i := range results {
		ratios = append(ratios, results[i].rate/base[i].rate)
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}
