package scale

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"irispost/internal/fleet/rig"
	"irispost/internal/scale/meter"
)

// Case is a course of events in a fleet, with checks of its outcome.
type Case struct {
	Name        string
	Description string
	run         func(*Fleet, *Result) error
}

// Cases are all cases.
var Cases = []Case{
	{"ordinary", "a day squeezed: changes one after another, restarts, kills; what it costs, and what grows", ordinaryDay},
	{"in-force", "from a change's proposal to the last gateway, without a fault and with each single one", inForce},
	{"replaced", "a shard's node is lost and replaced, again and again", nodeReplacement},
	{"zone", "a zone's gateways killed and back at once, with a change meanwhile", zoneRestart},
	{"all", "all gateways killed and back at once, with a change meanwhile", fleetRestart},
	{"rolling", "all gateways started again, wave after wave, with changes meanwhile", rollingRestart},
	{"regions", "the regions cut, with changes on either side, and together again", regionPartition},
	{"forms", "gateways that ask in the form of the build before, beside new ones", mixedProtocols},
}

// ErrUnknownCase is returned by Find for a name that no case has.
var ErrUnknownCase = errors.New("there is no case")

// Find returns the case of a name, or an error that wraps ErrUnknownCase.
func Find(name string) (Case, error) {
	for _, c := range Cases {
		if c.Name == name {
			return c, nil
		}
	}
	return Case{}, fmt.Errorf("%w %q", ErrUnknownCase, name)
}

// Result is the outcome of a case.
type Result struct {
	Case          string                     `json:"case"`
	Size          Size                       `json:"size"`
	Figures       map[string]float64         `json:"figures,omitempty"` // their names end with the unit
	Distributions map[string]meter.Quantiles `json:"spread,omitempty"`  // likewise
	MemoryByPhase map[string][]float64       `json:"parts,omitempty"`   // MB after each phase of the run
	Audits        []rig.Agreement            `json:"audits,omitempty"`
	Violations    []string                   `json:"broken"` // what does not hold; none: all does
	NotRun        string                     `json:"not_run,omitempty"`
}

// addViolation notes what does not hold.
func (r *Result) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// audit audits what gateways acted on since the last audit. No contradiction at all is tolerated: the bound that the
// audit states allows for errors of clocks, and all gateways here share one clock.
func (r *Result) audit(fleet *Fleet) error {
	agreement, err := fleet.audit()
	if err != nil {
		return err
	}
	r.Audits = append(r.Audits, agreement)
	if agreement.WorstMillis > 0 {
		r.addViolation("gateways contradicted each other for %.1f ms (%.0f stated): %s",
			agreement.WorstMillis, agreement.BoundMillis, agreement.FirstViolation)
	}
	return nil
}

// checkEndState checks the end state, unless there are violations already, after which the fleet would not reach it.
func (r *Result) checkEndState(fleet *Fleet, shards ...int) {
	if len(r.Violations) == 0 {
		r.Violations = append(r.Violations, fleet.checkEndState(shards...)...)
	}
}

// checkTimeBound checks a time, in milliseconds, against its bound, if the size enforces bounds.
func (r *Result) checkTimeBound(what string, took float64, bound time.Duration) {
	most := float64(bound.Milliseconds())
	if r.Size.EnforceTimeBounds && took > most {
		r.addViolation("%s: %.0f ms, over %.0f", what, took, most)
	}
}

// Run opens a fleet and runs a case on it. With an error the result holds what was measured before.
func Run(testCase Case, size Size, options Options) (*Result, error) {
	result := &Result{
		Case:          testCase.Name,
		Size:          size,
		Figures:       map[string]float64{},
		Distributions: map[string]meter.Quantiles{},
		MemoryByPhase: map[string][]float64{},
		Violations:    []string{},
	}
	fleet, err := Open(size, options)
	if err != nil {
		return result, err
	}
	defer fleet.Close()
	if err := testCase.run(fleet, result); err != nil {
		return result, err
	}
	if result.NotRun == "" {
		if err := result.audit(fleet); err != nil {
			return result, err
		}
	}
	used, err := meter.ProcessUsage(os.Getpid())
	result.Figures["gateways_process_mb"] = used.MB
	names := slices.Sorted(maps.Keys(result.Figures))
	fleet.options.Note("%s: %d broken; %v", testCase.Name, len(result.Violations), names)
	return result, err
}
