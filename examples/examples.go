// Package examples embeds example configurations and scripted days for each kind of use into the program.
package examples

import "embed"

// Files contains the example files.
//
//go:embed *.hcl
var Files embed.FS
