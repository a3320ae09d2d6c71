package agent

import (
	"strconv"

	"irispost/scheduler"
)

// reader reads values of the module's terms; spans are milliseconds there.
func reader(t scheduler.Settings) (number func(string) float64, span func(string) scheduler.Time) {
	number = func(name string) float64 {
		v, _ := strconv.ParseFloat(t[name], 64)
		return v
	}
	return number, func(name string) scheduler.Time { return scheduler.Time(number(name) * float64(scheduler.Millisecond)) }
}
