package adapter_test

import (
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/adapter"
	"irispost/internal/testkit"
)

// TestLoopAndAdapterCallSchedulerAlike plays random scenarios to the gateway's loop, and to the adapter as the bench
// would send them. Both schedulers have to be called alike, and so decide alike.
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
				t.Fatalf("line %d:\ngateway %s\nadapter %s", i, loopTrace.lines[i], adapterTrace.lines[i])
			}
		}
		if len(loopTrace.lines) != len(adapterTrace.lines) {
			t.Fatalf("%d lines of the gateway, %d of the adapter; then\ngateway %q\nadapter %q",
				len(loopTrace.lines), len(adapterTrace.lines), loopTrace.lines[common:], adapterTrace.lines[common:])
		}
	})
}
