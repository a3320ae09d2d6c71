package capacity

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// The page is Markdown. It is written by hand, except for the generated text between marks:
//
//	<!-- NAME -->text<!-- / -->        the value of the figure of this name
//	<!-- NAME.limit -->text<!-- / -->  its bound and target
//	<!-- NAME.from -->text<!-- / -->   the records from which it was computed
//	<!-- slopes --> ... <!-- /slopes -->          a table of all records
//	<!-- unmeasured --> ... <!-- /unmeasured -->  the figures that have a limit and could not be computed
//	1. <!-- missing NAME NAME --> text            an entry in the list of what is missing
var (
	markPattern  = regexp.MustCompile(`<!-- ([a-z0-9_]+)(?:\.(from|limit))? -->([^|\n]*?)<!-- / -->`)
	entryPattern = regexp.MustCompile(`^\d+\. <!-- missing ([a-z0-9_ ]+?) -->(.*)$`)
)

// ErrUnknownFigure is wrapped by the error for a mark whose name is not that of a figure.
var ErrUnknownFigure = errors.New("no such figure")

// mark is a mark of a figure on the page, with its current text.
type mark struct {
	figure string
	part   string // "", "limit" or "from"
	text   string
}

// label returns the mark's name as written on the page: NAME, NAME.limit or NAME.from.
func (m mark) label() string { return strings.Trim(m.figure+"."+m.part, ".") }

// parseMark returns the mark that a match of markPattern describes.
func parseMark(match []string) mark { return mark{figure: match[1], part: match[2], text: match[3]} }

// text returns the generated text of a part of a figure, as named in mark.
func (r Result) text(part string) string {
	switch part {
	case "from":
		return r.SourcesText()
	case "limit":
		return r.LimitText()
	}
	return r.ValueText()
}

// block is a section of the page that is generated from all records.
type block struct {
	name    string
	content func(Records, map[string]Result) string
}

var blocks = []block{{"slopes", slopesTable}, {"unmeasured", unmeasuredList}}

func (b block) pattern() *regexp.Regexp {
	return regexp.MustCompile(`(?s)<!-- ` + b.name + ` -->\n(.*?)<!-- /` + b.name + ` -->`)
}

// Fill returns the page with all texts between marks generated again. If a mark's name is not that of a figure, the
// error wraps ErrUnknownFigure.
func Fill(page string, records Records, size Size) (string, error) {
	results := Results(records, size)
	var failure error
	page = markPattern.ReplaceAllStringFunc(page, func(match string) string {
		found := parseMark(markPattern.FindStringSubmatch(match))
		result, ok := results[found.figure]
		if !ok {
			failure = fmt.Errorf("the page names %s: %w", found.figure, ErrUnknownFigure)
			return match
		}
		return strings.Replace(match, "-->"+found.text+"<!--", "-->"+result.text(found.part)+"<!--", 1)
	})
	for _, b := range blocks {
		text := "<!-- " + b.name + " -->\n" + b.content(records, results) + "<!-- /" + b.name + " -->"
		page = b.pattern().ReplaceAllLiteralString(page, text)
	}
	return page, failure
}

// slopesTable returns the table of all records.
func slopesTable(records Records, _ map[string]Result) string {
	var b strings.Builder
	b.WriteString("| record | what it came to | command | commit |\n| --- | --- | --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(records)) {
		record := records[name]
		fmt.Fprintf(&b, "| %s | %s | `%s` | %s |\n", name, record, record.Command, record.Commit)
	}
	return b.String()
}

// unmeasuredList returns the list of the figures that have a limit and could not be computed.
func unmeasuredList(_ Records, results map[string]Result) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(results)) {
		result := results[name]
		if result.Known() || !result.HasLimit() {
			continue
		}
		missingRecords := strings.Join(slices.Sorted(maps.Keys(result.Problems)), ", ")
		fmt.Fprintf(&b, "- %s: held against %s; lacks %s\n", name, result.LimitText(), missingRecords)
	}
	if b.Len() == 0 {
		return "None.\n"
	}
	return b.String()
}
