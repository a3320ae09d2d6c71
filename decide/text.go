package decide

import _ "embed"

// Text is the module's source, by which a capture says what decided in it.
//
//go:embed decide.go
var Text []byte
