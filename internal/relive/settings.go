package relive

import (
	"strconv"
	"strings"

	"irispost/internal/audit"
	"irispost/scheduler"
)

// requestClass is what a play needs of a request class in the captured settings.
type requestClass struct {
	name        string
	idempotency uint8 // audit.Idempotent and so on
	ordered     bool  // requests of one key run in their order
	objective   scheduler.Time
}

// requestClasses reads the request classes of settings. Their keys are those of the captured form.
func requestClasses(settings scheduler.Settings) []requestClass {
	idempotencies := map[string]uint8{"referenced": audit.Keyed, "single-use": audit.NonIdempotent}
	var classes []requestClass
	for i := range int(number(settings, "products.count")) {
		prefix := "products." + strconv.Itoa(i) + "."
		inTurn := settings[prefix+"in_turn"]
		classes = append(classes, requestClass{
			name:        settings[prefix+"name"],
			idempotency: idempotencies[settings[prefix+"kind"]],
			ordered:     inTurn == "true" || inTurn == "1",
			objective:   milliseconds(settings, prefix+"goal"),
		})
	}
	return classes
}

// number reads a number of settings; 0 where it is missing or malformed.
func number(settings scheduler.Settings, name string) float64 {
	value, _ := strconv.ParseFloat(strings.TrimSpace(settings[name]), 64)
	return value
}

// milliseconds reads a time of settings, which is in milliseconds.
func milliseconds(settings scheduler.Settings, name string) scheduler.Time {
	return scheduler.Time(number(settings, name) * float64(scheduler.Millisecond))
}
