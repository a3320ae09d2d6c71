// Package bench measures the overhead of a gateway. In one run, a client sends the same requests to a storage node
// directly and through three gateways: a plain one, one that writes a capture, and one that follows replicas.
//
// It is used by `irispost bench`. A run starts its own processes and creates a temporary folder. It stops the
// processes and removes the folder at the end.
package bench

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"irispost/internal/sftp"
)

// testCase is a kind of load that is measured.
type testCase struct {
	name        string
	operation   sftp.Type
	bytes       int // size of a request
	outstanding int // number of concurrent requests
}

// testCases returns all cases in the order of the table.
func testCases() (cases []testCase) {
	operations := []struct {
		name string
		code sftp.Type
	}{{"read", sftp.Read}, {"write", sftp.Write}}
	for _, operation := range operations {
		for _, bytes := range []int{4 << 10, 32 << 10} {
			for _, outstanding := range []int{1, 16, 256} {
				cases = append(cases, testCase{operation.name, operation.code, bytes, outstanding})
			}
		}
	}
	return cases
}

// Run measures all cases and writes a table of the results to out. It starts the executable program as gateways and
// replicas. profile is the file for a CPU profile of the plain gateway, or empty for none. Each case is measured in the
// given number of rounds. In a round, the node and every gateway are measured one after another. The parameter each is
// the duration of one such measurement.
func Run(out io.Writer, program, profile string, each time.Duration, rounds int) error {
	bed, err := startTestbed(program, profile)
	if err != nil {
		return err
	}
	defer bed.close()
	table := newTable(out)
	var captured, following []float64 // per case: ratio of the request rate to the plain gateway's
	requests := 0.0                   // number of requests in the capture
	for _, c := range testCases() {
		measured := bed.measure(c, each, max(rounds, 1))
		table.writeCase(c, measured)
		captured = append(captured, medianRatio(measured.captured, measured.through))
		following = append(following, medianRatio(measured.following, measured.through))
		for _, result := range measured.captured {
			requests += result.rate * each.Seconds()
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	writeRatios(out, "captured", captured)
	writeRatios(out, "followed", following)
	writeCaptureSize(out, bed.dir, requests)
	return nil
}

// writeRatios writes the median, least and largest ratio over all cases.
func writeRatios(out io.Writer, name string, ratios []float64) {
	sorted := slices.Sorted(slices.Values(ratios))
	_, _ = fmt.Fprintf(out, "%s/through over the %d cases: median %.2f, least %.2f, most %.2f\n",
		name, len(sorted), sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]) // Flush has succeeded on out
}

// writeCaptureSize writes the mean number of bytes that the capture holds per request.
func writeCaptureSize(out io.Writer, dir string, requests float64) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.iriscap")) // the pattern is valid
	for _, file := range files {
		if info, err := os.Stat(file); err == nil {
			// An error is ignored, as in writeRatios: Flush has succeeded on out.
			_, _ = fmt.Fprintf(out, "the capture has %.1f bytes a job\n", float64(info.Size())/requests)
		}
	}
}
