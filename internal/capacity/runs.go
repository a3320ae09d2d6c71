package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// ErrBadRun is wrapped by the errors of a run that cannot be converted to records.
var ErrBadRun = errors.New("not a usable run")

// axis names the quantity that a size of a run counts.
type axis string

// The axes: followers, nodes and changes in the fleet bench, gateways in the scale tests.
const (
	followersAxis axis = "followers"
	nodesAxis     axis = "nodes"
	changesAxis   axis = "changes"
	gatewaysAxis  axis = "gateways"
)

// benchAxes are the axes on which a run of the fleet bench has a size.
var benchAxes = []axis{followersAxis, nodesAxis, changesAxis}

// Kinds of runs. The kind of a scale test is scaleKindPrefix followed by the name of its case.
const (
	benchKind       = "control"
	historyKind     = "history" // a run of the fleet bench without followers
	scaleKindPrefix = "scale_"
)

// run is one run of a measurement.
type run struct {
	kind    string
	sizes   map[axis]float64
	figures map[string]float64 // by name
	marks   []run              // intermediate results of a fleet bench, by number of changes
}

func newRun(kind string) run {
	return run{kind: kind, sizes: map[axis]float64{}, figures: map[string]float64{}}
}

// parseRuns parses a file that holds one run or a list of runs.
func parseRuns(file []byte) (runs []run, err error) {
	var list []map[string]any
	if json.Unmarshal(file, &list) != nil {
		var single map[string]any
		if err := json.Unmarshal(file, &single); err != nil {
			return nil, err
		}
		list = []map[string]any{single}
	}
	for _, fields := range list {
		parsed, err := parseRun(fields)
		if err != nil {
			return nil, err
		}
		runs = append(runs, parsed)
	}
	return runs, nil
}

// parseRun parses a run of a scale test, recognized by its field "case", or of the fleet bench.
func parseRun(fields map[string]any) (run, error) {
	if name, ok := fields["case"].(string); ok {
		return parseScaleRun(name, fields)
	}
	return parseBenchRun(fields)
}

// parseScaleRun parses a run of a scale test. A case that had violations or was not run is an error.
func parseScaleRun(name string, fields map[string]any) (run, error) {
	parsed := newRun(scaleKindPrefix + identifier(name))
	if violations, ok := fields["broken"].([]any); ok && len(violations) > 0 {
		return parsed, fmt.Errorf("case %s violated a check: %v: %w", name, violations[0], ErrBadRun)
	}
	if reason, _ := fields["not_run"].(string); reason != "" {
		return parsed, fmt.Errorf("case %s was not run: %s: %w", name, reason, ErrBadRun)
	}
	size, _ := fields["size"].(map[string]any)
	gateways, ok := size["gateways"].(float64)
	if !ok {
		return parsed, fmt.Errorf("case %s has no number of gateways: %w", name, ErrBadRun)
	}
	parsed.sizes[gatewaysAxis] = gateways
	parsed.addFigures("", fields["figures"])
	parsed.addFigures("", fields["spread"])
	return parsed, nil
}

// parseBenchRun parses a run of the fleet bench.
func parseBenchRun(fields map[string]any) (run, error) {
	parsed := newRun(benchKind)
	figures := maps.Clone(fields)
	delete(figures, "marks")
	for _, axis := range benchAxes {
		size, ok := fields[string(axis)].(float64)
		if !ok {
			return parsed, fmt.Errorf("no field %s, not a run of the fleet bench: %w", axis, ErrBadRun)
		}
		if size != 0 {
			parsed.sizes[axis] = size
		}
		delete(figures, string(axis))
	}
	parsed.addFigures("", figures)
	if parsed.sizes[followersAxis] == 0 {
		parsed.kind = historyKind
	}
	marks, _ := fields["marks"].([]any)
	for _, value := range marks {
		parsed.marks = append(parsed.marks, parseMarkRun(value))
	}
	return parsed, nil
}

// parseMarkRun parses a mark, an intermediate result of a run of the fleet bench.
func parseMarkRun(value any) run {
	fields, _ := value.(map[string]any)
	mark := newRun("")
	mark.sizes[changesAxis], _ = fields[string(changesAxis)].(float64)
	figures := maps.Clone(fields)
	delete(figures, string(changesAxis))
	mark.addFigures("", figures)
	return mark
}

// addFigures adds all numbers in a JSON value. The name of a nested number is formed from the names of the enclosing
// fields. A list has one number for each replica, of which the two largest are added.
func (r *run) addFigures(name string, value any) {
	switch value := value.(type) {
	case float64:
		r.figures[name] = value
	case map[string]any:
		for field, inner := range value {
			r.addFigures(identifier(name+"_"+field), inner)
		}
	case []any:
		r.addReplicaFigures(name, value)
	}
}

// addReplicaFigures adds the largest number of a list under the name, and the second largest under the name with
// "_others" appended.
func (r *run) addReplicaFigures(name string, list []any) {
	var numbers []float64
	for _, value := range list {
		if number, ok := value.(float64); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	if count := len(numbers); count > 0 {
		r.figures[name] = numbers[count-1]
		if count > 1 {
			r.figures[name+"_others"] = numbers[count-2]
		}
	}
}

var nonIdentifier = regexp.MustCompile(`[^a-z0-9]+`)

// identifier returns a text in lower case, with each run of characters other than letters and digits replaced by an
// underscore and none at either end.
func identifier(text string) string {
	return strings.Trim(nonIdentifier.ReplaceAllString(strings.ToLower(text), "_"), "_")
}
