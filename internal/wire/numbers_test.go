package wire_test

import (
	"bytes"
	"testing"

	"irispost/internal/wire"
	"irispost/scheduler"
)

func TestTimesKeepTheMicrosecond(t *testing.T) {
	for text, ns := range map[string]scheduler.Time{"8412.251": 8412251000, "0.000001": 1, "7": 7000000, "-2.5": -2500000} {
		if got, ok := wire.ParseTime([]byte(text)); !ok || got != ns {
			t.Errorf("ParseTime of %s: got %d, or no time; want the nanoseconds of the case", text, got)
		}
	}
	var out bytes.Buffer
	w := wire.NewWriter(&out)
	w.Start("X", 1).Time(8412251000).Time(1).End()
	if err := w.Flush(); err != nil || out.String() != "X\t1\t8412.251\t0.001\nACK\n" {
		t.Errorf("Flush returned %v and wrote %q, want times 8412.251 and 0.001", err, out.String())
	}
}
