package adapter_test

import (
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/adapter"
	"irispost/internal/testkit"
)

// TestLoopAndAdapterCallSchedulerAlike runs random scenarios through the gateway's loop and, in the form in which the
// simulator would send them, through the adapter. It guards against a difference between the two in how they call
// their schedulers, and so in what these decide.
func TestLoopAndAdapterCallSchedulerAlike(t *testing.T) {
	testkit.FixSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		loopTrace, adapterTrace := &callTrace{}, &callTrace{}
		s := newScenario(t, loopTrace)
		defer s.loop.Stop()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			s.step()
		}
		s.loop.Stop()
		input := strings.NewReader(strings.ReplaceAll(s.wire.String(), "|", "\t"))
		if err := adapter.Run(input, io.Discard, func(int64) adapter.Tap { return adapterTrace }); err != nil {
			t.Fatal(err)
		}
		common := min(len(loopTrace.lines), len(adapterTrace.lines))
		for i := range common {
			if loopTrace.lines[i] != adapterTrace.lines[i] {
				t.Fatalf("traces differ in line %d:\ngateway %s\nadapter %s", i, loopTrace.lines[i], adapterTrace.lines[i])
			}
		}
		if len(loopTrace.lines) != len(adapterTrace.lines) {
			t.Fatalf("gateway trace has %d lines, adapter trace %d; lines after the common ones:\ngateway %q\nadapter %q",
				len(loopTrace.lines), len(adapterTrace.lines), loopTrace.lines[common:], adapterTrace.lines[common:])
		}
	})
}
