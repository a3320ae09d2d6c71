package relive

import (
	"strconv"
	"strings"

	"irispost/internal/audit"
	"irispost/scheduler"
)

// requestClass contains the settings of a request class that a play needs.
type requestClass struct {
	name        string
	idempotency uint8 // audit.Idempotent, audit.Keyed or audit.NonIdempotent
	ordered     bool  // requests with the same key are executed in order
	objective   scheduler.Time
}

// requestClasses reads the request classes from settings, which have the keys of captured settings.
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

// number returns a number from settings, or 0 if it is missing or malformed.
func number(settings scheduler.Settings, name string) float64 {
	value, _ := strconv.ParseFloat(strings.TrimSpace(settings[name]), 64)
	return value
}

// milliseconds returns a duration from settings, which contain it in milliseconds.
func milliseconds(settings scheduler.Settings, name string) scheduler.Time {
	return scheduler.Time(number(settings, name) * float64(scheduler.Millisecond))
}
