package scale

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"irispost/internal/fleet/rig"
	"irispost/internal/scale/meter"
)

// Case is something that happens to a fleet, with what has to hold at its end.
type Case struct {
	Name        string
	Description string
	run         func(*Fleet, *Result) error
}

// Cases are all, in the order in which the size would meet them.
var Cases = []Case{
	{"ordinary", "a day squeezed: changes one after another, restarts, kills; what it costs, and what grows", ordinary},
	{"in-force", "from a change's proposal to the last gateway, without a fault and with each single one", inForce},
	{"replaced", "a shard's node is lost and replaced, again and again", replaced},
	{"zone", "a zone's gateways killed and back at once, with a change meanwhile", zoneBack},
	{"all", "all gateways killed and back at once, with a change meanwhile", allBack},
	{"rolling", "all gateways started again, wave after wave, with changes meanwhile", rolling},
	{"regions", "the regions cut, with changes on either side, and together again", regions},
	{"forms", "gateways that ask in the form of the build before, beside new ones", bothForms},
}

// Find finds a case by its name.
func Find(name string) (Case, error) {
	for _, c := range Cases {
		if c.Name == name {
			return c, nil
		}
	}
	return Case{}, fmt.Errorf("there is no case %q", name)
}

// Result is what a case came to.
type Result struct {
	Case          string                     `json:"case"`
	Size          Size                       `json:"size"`
	Figures       map[string]float64         `json:"figures,omitempty"` // units are in the names
	Distributions map[string]meter.Quantiles `json:"spread,omitempty"`
	MemoryByPhase map[string][]float64       `json:"parts,omitempty"` // MB after each part of the run
	Audits        []rig.Agreement            `json:"audits,omitempty"`
	Violations    []string                   `json:"broken"` // what does not hold; none: all does
	NotRun        string                     `json:"not_run,omitempty"`
}

// broke notes what does not hold.
func (r *Result) broke(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// audit audits what was acted on since the last one.
func (r *Result) audit(f *Fleet) error {
	a, err := f.audit()
	if err != nil {
		return err
	}
	r.Audits = append(r.Audits, a)
	if a.WorstMillis > 0 { // nobody is to contradict at all; what is stated bounds the error of clocks, and here all have one
		r.broke("gateways contradicted each other for %.1f ms (%.0f stated): %s", a.WorstMillis, a.BoundMillis, a.FirstViolation)
	}
	return nil
}

// ends holds the end state, unless something is broken already that would be waited for in vain.
func (r *Result) ends(f *Fleet, shards ...int) {
	if len(r.Violations) == 0 {
		r.Violations = append(r.Violations, f.ends(shards...)...)
	}
}

// bound holds a time against its bound, where times count.
func (r *Result) bound(what string, ms, most float64) {
	if r.Size.EnforceTimeBounds && ms > most {
		r.broke("%s: %.0f ms, over %.0f", what, ms, most)
	}
}

// Run opens a fleet and has a case run on it.
func Run(c Case, s Size, opt Options) (r *Result, err error) {
	r = &Result{Case: c.Name, Size: s, Figures: map[string]float64{}, Distributions: map[string]meter.Quantiles{}, MemoryByPhase: map[string][]float64{}, Violations: []string{}}
	f, err := Open(s, opt)
	if err != nil {
		return r, err
	}
	defer f.Close()
	if err := c.run(f, r); err != nil {
		return r, err
	}
	if r.NotRun == "" {
		if err := r.audit(f); err != nil {
			return r, err
		}
	}
	me, err := meter.Process(os.Getpid())
	r.Figures["gateways_process_mb"] = me.MB
	f.opt.Note("%s: %d broken; %v", c.Name, len(r.Violations), slices.Sorted(maps.Keys(r.Figures)))
	return r, err
}
