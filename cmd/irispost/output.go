package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// writef and writeln print a command's results. Write errors are ignored, because the output that failed is the only
// place where they could be reported. For a table, Flush returns the error.
func writef(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

func writeln(out io.Writer, args ...any) { _, _ = fmt.Fprintln(out, args...) }

// writeJSON prints a value as indented JSON.
func writeJSON(out io.Writer, value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	writeln(out, string(encoded))
	return nil
}

// newTable returns a writer that aligns tab-separated columns when it is flushed.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0) }
