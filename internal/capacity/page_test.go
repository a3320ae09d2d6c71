package capacity_test

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"testing"

	"irispost/internal/capacity"
)

// TestPage checks the page's figures against the records. `IRISPOST_MEASURE=1 go test -run MeasurePage
// ./internal/capacity` generates them again.
func TestPage(t *testing.T) {
	for _, problem := range capacity.Check(readPage(t), readRecords(t), capacity.PlannedSize) {
		t.Error(problem)
	}
}

// pageDefect is a defect in a copy of the page or of the records, with the problem that Check has to report.
type pageDefect struct {
	name    string
	page    string
	records capacity.Records
	want    string
}

// TestCheckReportsEachDefectOfAPage checks copies of the page and of the records that each have one defect.
func TestCheckReportsEachDefectOfAPage(t *testing.T) {
	page, records := readPage(t), readRecords(t)
	defects := textDefects(page, records)
	defects = append(defects, recordDefects(t, page, records)...)
	defects = append(defects, entryDefects(t, page, records)...)
	for _, c := range defects {
		t.Run(c.name, func(t *testing.T) {
			if c.page == page && fmt.Sprint(c.records) == fmt.Sprint(records) {
				t.Fatal("the defect changes neither the page nor the records")
			}
			problems := capacity.Check(c.page, c.records, capacity.PlannedSize)
			if !slices.ContainsFunc(problems, func(s string) bool { return strings.Contains(s, c.want) }) {
				t.Errorf("want a problem that contains %q, got %q", c.want, problems)
			}
		})
	}
}

// textDefects returns defects of the page's texts.
func textDefects(page string, records capacity.Records) []pageDefect {
	edit := func(pattern, replacement string) string { return replaceFirst(page, pattern, replacement) }
	return []pageDefect{
		{"a figure of the page changed", edit(`(<!-- serving_module_us -->)[0-9.]+`, "${1}1"), records,
			"serving_module_us says"},
		{"a limit changed", edit(`(<!-- control_day_bytes_s\.limit -->)3,000`, "${1}4,000"), records,
			"control_day_bytes_s.limit says"},
		{"the records of a figure changed", edit(`(<!-- serving_module_us\.from -->)[a-z_]+`, "${1}other"), records,
			"serving_module_us.from says"},
		{"a row gone", edit(`\n\|[^\n]*<!-- storage_connections -->[^\n]*`, ""), records,
			"no row has the figure storage_connections"},
		{"a row without a figure", edit(`\n(\| --- [^\n]*)\n`, "\n$1\n| memory | 12 MB | none | all | here |\n"), records,
			"a row without a figure"},
		{"an empty cell", edit(`\n(\|[^\n]*<!-- serving_core -->[^\n]*)\|[^|\n]*\|\n`, "\n${1}| |\n"), records,
			"a cell is empty"},
		{"a mark that names nothing", page + "<!-- serving_luck -->12 MB<!-- / -->\n", records,
			"there is no figure serving_luck"},
		{"a slope's row gone", edit(`\n\| module_request_us_by_nodes \|[^\n]*`, ""), records,
			"the block slopes"},
	}
}

// recordDefects returns defects in which the records differ from those of the page.
func recordDefects(t *testing.T, page string, records capacity.Records) []pageDefect {
	t.Helper()
	const name = "module_request_us_by_nodes"
	without := maps.Clone(records)
	delete(without, name)
	slower := maps.Clone(records)
	slower[name] = tenTimes(t, records[name])
	return []pageDefect{
		{"a record with ten times the measured values", page, slower, "serving_module_us says"},
		{"a record gone", page, without, "serving_module_us says"},
	}
}

// entryDefects returns defects of the list of what is missing.
func entryDefects(t *testing.T, page string, records capacity.Records) []pageDefect {
	t.Helper()
	const name = "control_follower_mb_by_followers"
	exceeded := maps.Clone(records)
	exceeded[name] = fitted(t, name, "MB", "followers", 100, 200, 300, 200, 780, 200)
	unlisted := strings.ReplaceAll(fill(t, page, exceeded), " control_mb ", " ")
	kept := maps.Clone(records)
	kept[name] = fitted(t, name, "MB", "followers", 100, 2, 300, 2, 780, 2)
	listed := fill(t, page, kept) + "\n1. <!-- missing control_mb --> memory\n"
	normalOperationLast := page + "\n1. <!-- missing zone_core --> a zone\n2. <!-- missing serving_core --> a day\n"
	return []pageDefect{
		{"a bound exceeded without an entry", unlisted, exceeded, "control_mb is 200 MB"},
		{"an entry for a bound that is kept", listed, kept, "whose bound is kept"},
		{"an entry that names nothing", page + "\n1. <!-- missing luck --> luck\n", records, "no such figure"},
		{"an entry for normal operation after one for a failure", normalOperationLast, records, "comes after"},
	}
}

// replaceFirst replaces the first match of a pattern.
func replaceFirst(text, pattern, replacement string) string {
	expression := regexp.MustCompile(pattern)
	match := expression.FindStringSubmatchIndex(text)
	if match == nil {
		return text
	}
	expanded := expression.ExpandString(nil, replacement, text, match)
	return text[:match[0]] + string(expanded) + text[match[1]:]
}

// tenTimes returns a copy of a record with all its measured values multiplied by ten.
func tenTimes(t *testing.T, record *capacity.Record) *capacity.Record {
	t.Helper()
	slower := *record
	slower.Points = slices.Clone(record.Points)
	for i := range slower.Points {
		slower.Points[i].Measured *= 10
	}
	if err := slower.Fit(); err != nil {
		t.Fatal(err)
	}
	return &slower
}

// fill generates the page's figures from records.
func fill(t *testing.T, page string, records capacity.Records) string {
	t.Helper()
	filled, err := capacity.Fill(page, records, capacity.PlannedSize)
	if err != nil {
		t.Fatal(err)
	}
	return filled
}

func TestFillRejectsAnUnknownFigure(t *testing.T) {
	_, err := capacity.Fill("<!-- luck -->1<!-- / -->", capacity.Records{}, capacity.PlannedSize)
	if !errors.Is(err, capacity.ErrUnknownFigure) {
		t.Error(err)
	}
}
