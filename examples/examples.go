// Package examples holds configurations and scripted days for each kind of use, and lets the program carry them.
package examples

import "embed"

// Files are the example files.
//
//go:embed *.hcl
var Files embed.FS
