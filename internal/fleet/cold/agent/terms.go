package agent

import (
	"strconv"

	"irispost/decide"
)

// reader reads values of the module's terms; spans are milliseconds there.
func reader(t decide.Settings) (number func(string) float64, span func(string) decide.Time) {
	number = func(name string) float64 {
		v, _ := strconv.ParseFloat(t[name], 64)
		return v
	}
	return number, func(name string) decide.Time { return decide.Time(number(name) * float64(decide.Millisecond)) }
}
