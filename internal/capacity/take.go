package capacity

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Taken turns what `irispost fleet bench --json` and `irispost fleet scale --json` wrote into records. Each file is one run, or a list of them. A run
// of the bench has followers, nodes and changes; one of the scale tests a case and its size. Runs that differ in one of these alone are the sizes
// of a slope: followers and nodes of the bench, gateways of the scale tests, and the changes of one run's marks. What has fewer than three sizes is
// told and left out, counts without a unit are passed over; a run in which something broke is refused.
func Taken(files map[string][]byte, command, commit string) (records []*Record, left []string, err error) {
	t := taking{byName: map[string]*Record{}, command: command, commit: commit}
	var runs []run
	for _, name := range sortedKeys(files) {
		var list []map[string]any
		if json.Unmarshal(files[name], &list) != nil {
			var one map[string]any
			if err := json.Unmarshal(files[name], &one); err != nil {
				return nil, nil, fmt.Errorf("%s: %w", name, err)
			}
			list = []map[string]any{one}
		}
		for _, m := range list {
			r, err := read(m)
			if err != nil {
				return nil, nil, fmt.Errorf("%s: %w", name, err)
			}
			runs = append(runs, r)
		}
	}
	for _, r := range runs {
		for _, axis := range []string{"followers", "nodes", "gateways"} {
			size, ok := r.size[axis]
			if !ok {
				continue
			}
			if fixed := otherOf(axis); fixed == "" || r.size[fixed] == most(runs, r.what, fixed) {
				for name, v := range r.figures {
					if err := t.point(r.what+"_"+name, axis, size, v); err != nil {
						return nil, nil, err
					}
				}
			}
		}
		for _, m := range r.marks {
			if r.size["nodes"] != most(runs, r.what, "nodes") {
				continue
			}
			for name, v := range m.figures {
				if err := t.point(r.what+"_"+name, "changes", m.size["changes"], v); err != nil {
					return nil, nil, err
				}
			}
		}
	}
	for _, name := range sortedKeys(t.byName) {
		if r := t.byName[name]; len(r.Points) < leastSizes {
			left = append(left, fmt.Sprintf("%s: %d sizes, and a slope takes %d at least", name, len(r.Points), leastSizes))
		} else if err := r.Fit(); err != nil {
			return nil, nil, err
		} else {
			records = append(records, r)
		}
	}
	return records, left, nil
}

// run is one run of a measurement: its sizes, and its figures by name.
type run struct {
	what    string // control, or scale with its case
	size    map[string]float64
	figures map[string]float64
	marks   []run
}

var odd = regexp.MustCompile(`[^a-z0-9]+`)

func plain(s string) string { return strings.Trim(odd.ReplaceAllString(strings.ToLower(s), "_"), "_") }

// read reads a run as it was written.
func read(m map[string]any) (run, error) {
	r := run{what: "control", size: map[string]float64{}, figures: map[string]float64{}}
	if name, ok := m["case"].(string); ok {
		r.what = "scale_" + plain(name)
		if broken, ok := m["broken"].([]any); ok && len(broken) > 0 {
			return r, fmt.Errorf("case %s: %v", name, broken[0])
		}
		if not, _ := m["not_run"].(string); not != "" {
			return r, fmt.Errorf("case %s was not run: %s", name, not)
		}
		size, _ := m["size"].(map[string]any)
		if r.size["gateways"], ok = size["gateways"].(float64); !ok {
			return r, fmt.Errorf("case %s says no number of gateways", name)
		}
		r.numbers("", m["figures"])
		r.numbers("", m["spread"])
		return r, nil
	}
	sizes := []string{"followers", "nodes", "changes"}
	for _, axis := range sizes {
		v, ok := m[axis].(float64)
		if !ok {
			return r, fmt.Errorf("no %s: this is no run of the bench", axis)
		}
		if r.size[axis] = v; v == 0 {
			delete(r.size, axis)
		}
	}
	rest := map[string]any{}
	for name, v := range m {
		if name != "marks" && !slices.Contains(sizes, name) {
			rest[name] = v
		}
	}
	r.numbers("", rest)
	if r.size["followers"] == 0 {
		r.what = "history"
	}
	marks, _ := m["marks"].([]any)
	for _, v := range marks {
		fields, _ := v.(map[string]any)
		mark := run{size: map[string]float64{}, figures: map[string]float64{}}
		mark.size["changes"], _ = fields["changes"].(float64)
		delete(fields, "changes")
		mark.numbers("", fields)
		r.marks = append(r.marks, mark)
	}
	return r, nil
}

// numbers takes in all figures under a name. Of a list, one for each keeper, the largest counts, and the largest of the others.
func (r *run) numbers(name string, v any) {
	switch v := v.(type) {
	case float64:
		r.figures[name] = v
	case map[string]any:
		for k, o := range v {
			r.numbers(plain(name+"_"+k), o)
		}
	case []any:
		var all []float64
		for _, o := range v {
			if f, ok := o.(float64); ok {
				all = append(all, f)
			}
		}
		slices.Sort(all)
		if n := len(all); n > 0 {
			r.figures[name] = all[n-1]
			if n > 1 {
				r.figures[name+"_others"] = all[n-2]
			}
		}
	}
}

// otherOf names the size that has to stay the same for a slope of the bench.
func otherOf(axis string) string {
	return map[string]string{"followers": "nodes", "nodes": "followers"}[axis]
}

// most is the largest of a size among the runs of one kind.
func most(runs []run, what, axis string) (v float64) {
	for _, r := range runs {
		if r.what == what {
			v = max(v, r.size[axis])
		}
	}
	return v
}

type taking struct {
	byName          map[string]*Record
	command, commit string
}

var units = []struct{ part, unit string }{{"bytes_s", "bytes a second"}, {"bytes", "bytes"}, {"_core", "cores"}, {"_mb", "MB"}, {"_ms", "ms"}}

// point takes in a figure at a size. Runs of one size count by the worst of them.
func (t *taking) point(name, axis string, size, v float64) error {
	unit := ""
	for _, u := range units {
		if strings.Contains(name, u.part) {
			unit = u.unit
			break
		}
	}
	if unit == "" { // a count of the run's own, no cost
		return nil
	}
	name += "_by_" + axis
	r := t.byName[name]
	if r == nil {
		r = &Record{Name: name, Unit: unit, Over: axis, How: Measured, Command: t.command, Commit: t.commit}
		t.byName[name] = r
	}
	for i, p := range r.Points {
		if p.Size == size {
			r.Points[i].Measured = max(p.Measured, v)
			return nil
		}
	}
	if !(size > 0) {
		return fmt.Errorf("%s: a size of %v", name, size)
	}
	r.Points = append(r.Points, Point{size, v})
	return nil
}

func sortedKeys[V any](m map[string]V) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
