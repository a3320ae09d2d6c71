package capacity_test

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"testing"

	"irispost/internal/capacity"
)

// TestPage works the page's figures out again from the records. `IRISPOST_MEASURE=1 go test -run MeasurePage ./internal/capacity` writes them.
func TestPage(t *testing.T) {
	for _, line := range capacity.Check(readPage(t), readRecords(t), capacity.Letter) {
		t.Error(line)
	}
}

// TestPageIsHeld spoils a copy of the page or of the records in one place at a time: each is seen, and by the line that tells of it.
func TestPageIsHeld(t *testing.T) {
	page, all := readPage(t), readRecords(t)
	known := capacity.Records{}
	for name, r := range all {
		c := *r
		c.Points = slices.Clone(r.Points)
		known[name] = &c
	}
	once := func(pattern, with string) func(string) string { // the first match changed
		return func(s string) string {
			at := regexp.MustCompile(pattern).FindStringSubmatchIndex(s)
			if at == nil {
				return s
			}
			return s[:at[0]] + string(regexp.MustCompile(pattern).ExpandString(nil, with, s, at)) + s[at[1]:]
		}
	}
	slower := func(name string) capacity.Records { // the same slope, measured ten times as dear
		spoilt := maps.Clone(known)
		r := *known[name]
		r.Points = slices.Clone(r.Points)
		for i := range r.Points {
			r.Points[i].Measured *= 10
		}
		if err := r.Fit(); err != nil {
			t.Fatal(err)
		}
		spoilt[name] = &r
		return spoilt
	}
	without := maps.Clone(known)
	delete(without, "module_request_us_by_nodes")
	past := maps.Clone(known)
	past["control_follower_mb_by_followers"] = fitted(t, "control_follower_mb_by_followers", "MB", "followers", 100, 200, 300, 200, 780, 200)
	kept := maps.Clone(known)
	kept["control_follower_mb_by_followers"] = fitted(t, "control_follower_mb_by_followers", "MB", "followers", 100, 2, 300, 2, 780, 2)
	fill := func(s string, all capacity.Records) string {
		s, err := capacity.Fill(s, all, capacity.Letter)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	unlisted := func(s string) string { return strings.ReplaceAll(s, " control_mb ", " ") }
	listed := func(s string) string { return s + "\n1. <!-- missing control_mb --> memory\n" }
	for name, c := range map[string]struct {
		page    string
		records capacity.Records
		want    string
	}{
		"a figure of the page changed":         {once(`(<!-- serving_module_us -->)[0-9.]+`, "${1}1")(page), known, "serving_module_us says"},
		"a limit changed":                      {once(`(<!-- control_day_bytes_s\.limit -->)3,000`, "${1}4,000")(page), known, "control_day_bytes_s.limit says"},
		"the records of a figure changed":      {once(`(<!-- serving_module_us\.from -->)[a-z_]+`, "${1}other")(page), known, "serving_module_us.from says"},
		"a record measured dearer":             {page, slower("module_request_us_by_nodes"), "serving_module_us says"},
		"a record gone":                        {page, without, "serving_module_us says"},
		"a row gone":                           {once(`\n\|[^\n]*<!-- storage_connections -->[^\n]*`, "")(page), known, "no row has the figure storage_connections"},
		"a row without a figure":               {once(`\n(\| --- [^\n]*)\n`, "\n$1\n| memory | 12 MB | none | all | here |\n")(page), known, "a row without a figure"},
		"an empty cell":                        {once(`\n(\|[^\n]*<!-- serving_core -->[^\n]*)\|[^|\n]*\|\n`, "\n${1}| |\n")(page), known, "a cell is empty"},
		"a mark that names nothing":            {page + "<!-- serving_luck -->12 MB<!-- / -->\n", known, "there is no figure serving_luck"},
		"a slope's row gone":                   {once(`\n\| module_request_us_by_nodes \|[^\n]*`, "")(page), known, "the block slopes"},
		"a bound passed without an entry":      {unlisted(fill(page, past)), past, "control_mb is 200 MB"},
		"an entry for a bound that is kept":    {listed(fill(page, kept)), kept, "whose bound is kept"},
		"an entry that names nothing":          {page + "\n1. <!-- missing luck --> luck\n", known, "no such figure"},
		"an ordinary day after a rare failure": {page + "\n1. <!-- missing zone_core --> a zone\n2. <!-- missing serving_core --> a day\n", known, "comes after"},
	} {
		t.Run(name, func(t *testing.T) {
			if c.page == page && fmt.Sprint(c.records) == fmt.Sprint(known) {
				t.Fatal("nothing was spoilt")
			}
			wrong := capacity.Check(c.page, c.records, capacity.Letter)
			if !slices.ContainsFunc(wrong, func(s string) bool { return strings.Contains(s, c.want) }) {
				t.Errorf("not seen: %q is wanted among %q", c.want, wrong)
			}
		})
	}
}
