package membership

import (
	"fmt"
	"strings"
)

// Event is a state change to be logged.
type Event struct {
	Message string
	Attrs   []any // alternating keys and values, as in log/slog
}

// String formats the event as one line.
func (e Event) String() string {
	var line strings.Builder
	line.WriteString(e.Message)
	for i := 0; i+1 < len(e.Attrs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", e.Attrs[i], e.Attrs[i+1])
	}
	return line.String()
}
