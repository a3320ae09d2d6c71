package capacity

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// The page is Markdown, written by hand but for what stands between marks:
//
//	<!-- NAME -->text<!-- / -->        the figure of this name
//	<!-- NAME.limit -->text<!-- / -->  what it is held against
//	<!-- NAME.from -->text<!-- / -->   the records that it was worked out from
//	<!-- slopes --> ... <!-- /slopes -->          a table of all records
//	<!-- unmeasured --> ... <!-- /unmeasured -->  figures with a bound that nothing is known of
//	1. <!-- missing NAME NAME --> text            an entry of the list of what is missing
var (
	mark    = regexp.MustCompile(`<!-- ([a-z0-9_]+)(?:\.(from|limit))? -->([^|\n]*?)<!-- / -->`)
	missing = regexp.MustCompile(`^\d+\. <!-- missing ([a-z0-9_ ]+?) -->(.*)$`)
	blocks  = map[string]func(Records, map[string]Result) string{"slopes": slopes, "unmeasured": unmeasured}
)

func block(name string) *regexp.Regexp {
	return regexp.MustCompile(`(?s)<!-- ` + name + ` -->\n(.*?)<!-- /` + name + ` -->`)
}

// text is what stands between the marks of a figure's cell.
func (r Result) text(part string) string {
	switch part {
	case "from":
		return r.From()
	case "limit":
		return r.Limit()
	}
	return r.Said()
}

// Fill writes a page anew with what the records come to. What stands outside of marks stays; marks that name no figure are an error.
func Fill(page string, all Records, s Size) (string, error) {
	results := Results(all, s)
	var wrong error
	page = mark.ReplaceAllStringFunc(page, func(m string) string {
		p := mark.FindStringSubmatch(m)
		r, ok := results[p[1]]
		if !ok {
			wrong = fmt.Errorf("the page names %s, and there is no such figure", p[1])
			return m
		}
		return strings.Replace(m, "-->"+p[3]+"<!--", "-->"+r.text(p[2])+"<!--", 1)
	})
	for name, make := range blocks {
		page = block(name).ReplaceAllLiteralString(page, "<!-- "+name+" -->\n"+make(all, results)+"<!-- /"+name+" -->")
	}
	return page, wrong
}

// Check holds a page against the records, and tells all that is wrong, a line each: a figure that is another, is not there or is not in a row
// with its limit and its records; a row without a figure or with an empty cell; a bound that is passed without an entry in the list of what is
// missing, an entry for a bound that is kept, a failure in front of an ordinary day.
func Check(page string, all Records, s Size) (wrong []string) {
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	results := Results(all, s)
	for name, make := range blocks {
		m := block(name).FindStringSubmatch(page)
		if m == nil || m[1] != make(all, results) {
			say("the block %s is not what the records come to", name)
		}
		page = block(name).ReplaceAllLiteralString(page, "")
	}
	rows := map[string]bool{}
	named := map[string]bool{}
	rare := map[string]bool{}
	for _, f := range failures {
		rare[f.Name] = true
	}
	failing := "" // the first entry of the list that is of a failure
	for i, line := range strings.Split(page, "\n") {
		at := i + 1
		cells := map[string]bool{}
		for _, m := range mark.FindAllStringSubmatch(line, -1) {
			r, ok := results[m[1]]
			switch {
			case !ok:
				say("line %d: there is no figure %s", at, m[1])
			case m[3] != r.text(m[2]):
				say("line %d: %s says %q, and the records come to %q", at, strings.Trim(m[1]+"."+m[2], "."), m[3], r.text(m[2]))
			}
			cells[strings.Trim(m[1]+"."+m[2], ".")] = true
		}
		if m := missing.FindStringSubmatch(line); m != nil {
			if strings.TrimSpace(m[2]) == "" {
				say("line %d: an entry of what is missing says nothing", at)
			}
			for name := range strings.FieldsSeq(m[1]) {
				r, ok := results[name]
				switch {
				case !ok:
					say("line %d: what is missing names %s, and there is no such figure", at, name)
				case r.How != "" && r.Bound+r.Goal > 0 && !r.Passed():
					say("line %d: what is missing names %s, whose bound is kept", at, name)
				case rare[name] && failing == "":
					failing = name
				case !rare[name] && failing != "":
					say("line %d: %s is of an ordinary day, and comes after %s, a failure", at, name, failing)
				}
				named[name] = true
			}
		}
		if !strings.HasPrefix(line, "|") || strings.HasPrefix(line, "| ---") {
			continue
		}
		if next := strings.Split(page, "\n"); at < len(next) && strings.HasPrefix(next[at], "| ---") {
			continue // the table's head
		}
		for _, cell := range strings.Split(strings.Trim(line, "|"), "|") {
			if strings.TrimSpace(mark.ReplaceAllString(cell, "$3")) == "" {
				say("line %d: a cell is empty", at)
			}
		}
		of := 0
		for name := range results {
			if !cells[name] {
				continue
			}
			of++
			if rows[name] = rows[name] || cells[name+".limit"] && cells[name+".from"]; !rows[name] {
				say("line %d: the row of %s has not both its limit and its records", at, name)
			}
		}
		if of == 0 {
			say("line %d: a row without a figure", at)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(results)) {
		if !rows[name] {
			say("no row has the figure %s", name)
		}
		if results[name].Passed() && !named[name] {
			say("%s is %s (%s), and the list of what is missing does not name it", name, results[name].Said(), results[name].Limit())
		}
	}
	return wrong
}

// slopes is the table of all records.
func slopes(all Records, _ map[string]Result) string {
	var b strings.Builder
	b.WriteString("| record | what it came to | command | commit |\n| --- | --- | --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(all)) {
		r := all[name]
		fmt.Fprintf(&b, "| %s | %s | `%s` | %s |\n", name, r, r.Command, r.Commit)
	}
	return b.String()
}

// unmeasured lists figures with a bound that nothing is known of.
func unmeasured(_ Records, results map[string]Result) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(results)) {
		if r := results[name]; r.How == "" && r.Bound+r.Goal > 0 {
			fmt.Fprintf(&b, "- %s: held against %s; lacks %s\n", name, r.Limit(), strings.Join(slices.Sorted(maps.Keys(r.Lacks)), ", "))
		}
	}
	if b.Len() == 0 {
		return "None.\n"
	}
	return b.String()
}
