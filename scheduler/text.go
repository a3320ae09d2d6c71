package scheduler

import (
	"embed"
	"io/fs"
)

//go:embed decide.go jobs.go turns.go outcomes.go nodes.go cold.go terms.go
var texts embed.FS

// PolicySource is the module's source, by which a capture says what decided in it: its files in order of their names.
var PolicySource = text()

func text() (all []byte) {
	files, err := fs.Glob(texts, "*.go") // sorted
	if err != nil {
		panic(err) // the pattern is fixed
	}
	for _, f := range files {
		b, _ := texts.ReadFile(f)
		all = append(all, b...)
	}
	return all
}
