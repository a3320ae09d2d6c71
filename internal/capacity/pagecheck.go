package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// pageCheck is the check of a page.
type pageCheck struct {
	results         map[string]Result
	failureFigures  map[string]bool // names
	completeRows    map[string]bool // names of figures that have a row with limit and records
	entries         map[string]bool // names of figures in the list of what is missing
	firstFailure    string          // the first entry of that list that is of a failure
	problems        []string
	lineNumber      int
	nextIsSeparator bool // the line after this one separates a table's head from its rows
}

// Check checks a page against the records and returns all problems, a line each: a figure whose text differs, or that
// is not in a row with its limit and its records; a row without a figure or with an empty cell; a limit that is
// exceeded without an entry in the list of what is missing; an entry for a limit that is not exceeded, or for an
// ordinary day after one for a failure.
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

// reportLine adds a problem of the current line.
func (c *pageCheck) reportLine(format string, args ...any) {
	c.report("line %d: %s", c.lineNumber, fmt.Sprintf(format, args...))
}

// checkBlocks checks the blocks and returns the page without them.
func (c *pageCheck) checkBlocks(page string, records Records) string {
	for _, b := range blocks {
		match := b.pattern().FindStringSubmatch(page)
		if match == nil || match[1] != b.content(records, c.results) {
			c.report("the block %s is not what the records come to", b.name)
		}
		page = b.pattern().ReplaceAllLiteralString(page, "")
	}
	return page
}

// isSeparator tells whether a line separates a table's head from its rows.
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

// checkMarks checks the texts of a line's marks and returns their labels.
func (c *pageCheck) checkMarks(line string) map[string]bool {
	labels := map[string]bool{}
	for _, match := range markPattern.FindAllStringSubmatch(line, -1) {
		found := parseMark(match)
		result, ok := c.results[found.figure]
		switch {
		case !ok:
			c.reportLine("there is no figure %s", found.figure)
		case found.text != result.text(found.part):
			c.reportLine("%s says %q, and the records come to %q", found.label(), found.text, result.text(found.part))
		}
		labels[found.label()] = true
	}
	return labels
}

// checkEntry checks an entry of the list of what is missing.
func (c *pageCheck) checkEntry(names, text string) {
	if strings.TrimSpace(text) == "" {
		c.reportLine("an entry of what is missing says nothing")
	}
	for name := range strings.FieldsSeq(names) {
		result, ok := c.results[name]
		switch {
		case !ok:
			c.reportLine("what is missing names %s, and there is no such figure", name)
		case result.Known() && result.HasLimit() && !result.Exceeded():
			c.reportLine("what is missing names %s, whose bound is kept", name)
		case c.failureFigures[name] && c.firstFailure == "":
			c.firstFailure = name
		case !c.failureFigures[name] && c.firstFailure != "":
			c.reportLine("%s is of an ordinary day, and comes after %s, a failure", name, c.firstFailure)
		}
		c.entries[name] = true
	}
}

// checkRow checks a row of a table: it has no empty cell, and a figure with its limit and its records.
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
			c.reportLine("the row of %s has not both its limit and its records", name)
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
			c.report("%s is %s (%s), and the list of what is missing does not name it",
				name, result.ValueText(), result.LimitText())
		}
	}
}
