package capacity

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// The page is Markdown, written by hand but for the text between marks:
//
//	<!-- NAME -->text<!-- / -->        the value of the figure of this name
//	<!-- NAME.limit -->text<!-- / -->  its bound and target
//	<!-- NAME.from -->text<!-- / -->   the records that it was computed from
//	<!-- slopes --> ... <!-- /slopes -->          a table of all records
//	<!-- unmeasured --> ... <!-- /unmeasured -->  figures with a limit that could not be computed
//	1. <!-- missing NAME NAME --> text            an entry of the list of what is missing
var (
	markPattern  = regexp.MustCompile(`<!-- ([a-z0-9_]+)(?:\.(from|limit))? -->([^|\n]*?)<!-- / -->`)
	entryPattern = regexp.MustCompile(`^\d+\. <!-- missing ([a-z0-9_ ]+?) -->(.*)$`)
)

// ErrUnknownFigure is wrapped by the error for a mark that names no figure.
var ErrUnknownFigure = errors.New("no such figure")

// mark is a mark of a figure on the page, with the text that it has.
type mark struct {
	figure string
	part   string // "", "limit" or "from"
	text   string
}

// label returns the name of the mark as the page has it.
func (m mark) label() string { return strings.Trim(m.figure+"."+m.part, ".") }

// parseMark returns the mark of a match of markPattern.
func parseMark(match []string) mark { return mark{figure: match[1], part: match[2], text: match[3]} }

// text returns the text of a figure's part.
func (r Result) text(part string) string {
	switch part {
	case "from":
		return r.SourcesText()
	case "limit":
		return r.LimitText()
	}
	return r.ValueText()
}

// block is a part of the page that is written from all records.
type block struct {
	name    string
	content func(Records, map[string]Result) string
}

var blocks = []block{{"slopes", slopesTable}, {"unmeasured", unmeasuredList}}

func (b block) pattern() *regexp.Regexp {
	return regexp.MustCompile(`(?s)<!-- ` + b.name + ` -->\n(.*?)<!-- /` + b.name + ` -->`)
}

// Fill returns the page with the texts between marks written anew. A mark that names no figure is an error that wraps
// ErrUnknownFigure.
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

// unmeasuredList returns the list of figures with a limit that could not be computed.
func unmeasuredList(_ Records, results map[string]Result) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(results)) {
		result := results[name]
		if result.Known() || !result.HasLimit() {
			continue
		}
		lacks := strings.Join(slices.Sorted(maps.Keys(result.Problems)), ", ")
		fmt.Fprintf(&b, "- %s: held against %s; lacks %s\n", name, result.LimitText(), lacks)
	}
	if b.Len() == 0 {
		return "None.\n"
	}
	return b.String()
}
