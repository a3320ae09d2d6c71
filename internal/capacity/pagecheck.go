package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// pageCheck is the state of a check of the page.
type pageCheck struct {
	results         map[string]Result
	failureFigures  map[string]bool // names of the figures of failures
	completeRows    map[string]bool // names of the figures that have a row with limit and records
	entries         map[string]bool // names of the figures in the list of what is missing
	firstFailure    string          // the first figure of a failure in that list
	problems        []string
	lineNumber      int
	nextIsSeparator bool // the next line separates a table's header from its rows
}

// Check checks a page against the records and returns all problems, one line for each:
//   - a figure whose text differs from the generated one
//   - a figure without a row that also has its limit and its records
//   - a row without a figure or with an empty cell
//   - a limit that is exceeded without an entry in the list of what is missing
//   - an entry without a text, or for an unknown figure or a limit that is not exceeded
//   - an entry for normal operation after one for a failure
func Check(page string, records Records, size Size) (problems []string) {
	check := &pageCheck{
		results:        Results(records, size),
		failureFigures: map[string]bool{},
		completeRows:   map[string]bool{},
		entries:        map[string]bool{},
	}
	for _, figure := range failureFigures {
		check.failureFigures[figure.Name] = true
	}
	page = check.checkBlocks(page, records)
	lines := strings.Split(page, "\n")
	for i, line := range lines {
		check.lineNumber = i + 1
		check.nextIsSeparator = i+1 < len(lines) && isSeparator(lines[i+1])
		check.checkLine(line)
	}
	check.checkAllFigures()
	return check.problems
}

// report adds a problem.
func (c *pageCheck) report(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// reportLine adds a problem, prefixed with the number of the current line.
func (c *pageCheck) reportLine(format string, args ...any) {
	c.report("line %d: %s", c.lineNumber, fmt.Sprintf(format, args...))
}

// checkBlocks checks the generated blocks and returns the page without them.
func (c *pageCheck) checkBlocks(page string, records Records) string {
	for _, b := range blocks {
		match := b.pattern().FindStringSubmatch(page)
		if match == nil || match[1] != b.content(records, c.results) {
			c.report("the block %s differs from the one generated from the records", b.name)
		}
		page = b.pattern().ReplaceAllLiteralString(page, "")
	}
	return page
}

// isSeparator reports whether a line separates a table's header from its rows.
func isSeparator(line string) bool { return strings.HasPrefix(line, "| ---") }

func (c *pageCheck) checkLine(line string) {
	labels := c.checkMarks(line)
	if match := entryPattern.FindStringSubmatch(line); match != nil {
		c.checkEntry(match[1], match[2])
	}
	isRow := strings.HasPrefix(line, "|") && !isSeparator(line) && !c.nextIsSeparator
	if isRow {
		c.checkRow(line, labels)
	}
}

// checkMarks checks the texts of the marks in a line and returns the labels of the marks.
func (c *pageCheck) checkMarks(line string) map[string]bool {
	labels := map[string]bool{}
	for _, match := range markPattern.FindAllStringSubmatch(line, -1) {
		found := parseMark(match)
		result, ok := c.results[found.figure]
		switch {
		case !ok:
			c.reportLine("there is no figure %s", found.figure)
		case found.text != result.text(found.part):
			c.reportLine("%s says %q, but the records give %q", found.label(), found.text, result.text(found.part))
		}
		labels[found.label()] = true
	}
	return labels
}

// checkEntry checks an entry in the list of what is missing.
func (c *pageCheck) checkEntry(names, text string) {
	if strings.TrimSpace(text) == "" {
		c.reportLine("an entry in the list of what is missing has no text")
	}
	for name := range strings.FieldsSeq(names) {
		result, ok := c.results[name]
		switch {
		case !ok:
			c.reportLine("the list of what is missing names %s, but there is no such figure", name)
		case result.Known() && result.HasLimit() && !result.Exceeded():
			c.reportLine("the list of what is missing names %s, whose bound is kept", name)
		case c.failureFigures[name] && c.firstFailure == "":
			c.firstFailure = name
		case !c.failureFigures[name] && c.firstFailure != "":
			c.reportLine("%s is a figure of normal operation, but comes after %s, a figure of a failure", name, c.firstFailure)
		}
		c.entries[name] = true
	}
}

// checkRow checks that a table row has no empty cell, and that it has a figure with its limit and its records.
func (c *pageCheck) checkRow(line string, labels map[string]bool) {
	for _, cell := range strings.Split(strings.Trim(line, "|"), "|") {
		if strings.TrimSpace(markPattern.ReplaceAllString(cell, "$3")) == "" {
			c.reportLine("a cell is empty")
		}
	}
	hasFigure := false
	for name := range c.results {
		if !labels[name] {
			continue
		}
		hasFigure = true
		if labels[name+".limit"] && labels[name+".from"] {
			c.completeRows[name] = true
		}
		if !c.completeRows[name] {
			c.reportLine("the row of %s lacks its limit or its records", name)
		}
	}
	if !hasFigure {
		c.reportLine("a row without a figure")
	}
}

// checkAllFigures checks that each figure has a row, and an entry if its limit is exceeded.
func (c *pageCheck) checkAllFigures() {
	for _, name := range slices.Sorted(maps.Keys(c.results)) {
		if !c.completeRows[name] {
			c.report("no row has the figure %s", name)
		}
		result := c.results[name]
		if result.Exceeded() && !c.entries[name] {
			c.report("%s is %s (%s), but the list of what is missing does not name it",
				name, result.ValueText(), result.LimitText())
		}
	}
}
