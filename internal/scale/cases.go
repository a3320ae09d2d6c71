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

// Case is a test scenario for a fleet. It causes events such as restarts and faults, and checks the outcome.
type Case struct {
	Name        string
	Description string
	run         func(*Fleet, *Result) error
}

// Cases lists all cases in the order in which `irispost fleet scale` prints them.
var Cases = []Case{
	{"ordinary", "changes one after another, with restarts and kills; measures cost and memory growth", ordinaryDay},
	{"in-force", "time from a proposal to the last gateway, without a fault and under each one", changesUnderFaults},
	{"replaced", "the nodes of several shards are lost and replaced, one after another", nodeReplacement},
	{"zone", "all gateways of a zone killed and restarted at once, with a change while they are down", zoneRestart},
	{"all", "all gateways killed and restarted at once, with a change while they are down", fleetRestart},
	{"rolling", "all gateways restarted in batches, with a change during each batch", rollingRestart},
	{"regions", "a partition between the regions, with changes proposed on both sides, and its end", regionPartition},
	{"forms", "gateways that send renewals in the previous build's format, next to current ones", mixedRenewalFormats},
}

// ErrUnknownCase is returned by Find if no case has the name.
var ErrUnknownCase = errors.New("unknown case")

// Find returns the case with a name, or an error that wraps ErrUnknownCase.
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
	Figures       map[string]float64         `json:"figures,omitempty"` // each name ends with its unit
	Distributions map[string]meter.Quantiles `json:"spread,omitempty"`  // each name ends with its unit
	MemoryByPhase map[string][]float64       `json:"parts,omitempty"`   // MB after each phase of the case "ordinary"
	Audits        []rig.Agreement            `json:"audits,omitempty"`
	Violations    []string                   `json:"broken"` // failed checks; empty: all passed
	NotRun        string                     `json:"not_run,omitempty"`
}

// addViolation adds a failed check.
func (r *Result) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// audit checks that the versions that gateways acted on since the last audit do not contradict each other. Unlike the
// bound that the audit states, it tolerates no contradiction: that bound allows for clock errors, and all gateways
// here share one clock.
func (r *Result) audit(fleet *Fleet) error {
	agreement, err := fleet.audit()
	if err != nil {
		return err
	}
	r.Audits = append(r.Audits, agreement)
	if agreement.WorstMillis > 0 {
		r.addViolation("gateways contradicted each other for %.1f ms (stated bound: %.0f ms): %s",
			agreement.WorstMillis, agreement.BoundMillis, agreement.FirstViolation)
	}
	return nil
}

// checkEndState checks the end state, unless there are violations already: the fleet might then never reach it.
func (r *Result) checkEndState(fleet *Fleet, shards ...int) {
	if len(r.Violations) == 0 {
		r.Violations = append(r.Violations, fleet.checkEndState(shards...)...)
	}
}

// checkTimeBound compares a measured time, in milliseconds, with its bound, if the size enforces time bounds.
func (r *Result) checkTimeBound(what string, took float64, bound time.Duration) {
	limit := float64(bound.Milliseconds())
	if r.Size.EnforceTimeBounds && took > limit {
		r.addViolation("%s: %.0f ms, want at most %.0f ms", what, took, limit)
	}
}

// Run starts a fleet and runs a case on it. If it fails, the result holds what was measured until then.
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
	fleet.options.Progress("%s: %d violations; figures: %v", testCase.Name, len(result.Violations), names)
	return result, err
}
