package main

import (
	"fmt"
	"io"
)

// writef and writeln write a command's results for people. A write that fails is ignored: the output that has failed is
// the one place where it could be reported. Of a table, its Flush tells.
func writef(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

func writeln(w io.Writer, args ...any) { _, _ = fmt.Fprintln(w, args...) }
