package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// writef and writeln write a command's results for people. A write that fails is ignored: the output that has failed is
// the one place where it could be reported. Of a table, its Flush tells.
func writef(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

func writeln(out io.Writer, args ...any) { _, _ = fmt.Fprintln(out, args...) }

// writeJSON writes a value as indented JSON.
func writeJSON(out io.Writer, value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	writeln(out, string(encoded))
	return nil
}

// newTable aligns columns that are separated by tabs, when it is flushed.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0) }
