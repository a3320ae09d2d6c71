package rig

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Activation is what a gateway acts on from a time on.
type Activation struct {
	At       int64    // nanoseconds, on one clock for all gateways
	Versions []uint64 // numbers; of two it acts on the intersection; none: it serves nothing
	Fallback bool     // it acts on the fallbacks of the versions
}

// ReadActivations reads a gateway's record. A line is the time, whether it is on fallbacks, and the versions in
// brackets: "1500 false [3 4]".
func ReadActivations(r io.Reader) ([]Activation, error) {
	var list []Activation
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		activation, err := parseActivation(scanner.Text())
		if err != nil {
			return nil, err
		}
		list = append(list, activation)
	}
	return list, scanner.Err()
}

func parseActivation(line string) (Activation, error) {
	fields := strings.Fields(strings.NewReplacer("[", "", "]", "").Replace(line))
	if len(fields) < 2 {
		return Activation{}, fmt.Errorf("%q is no line of a record", line)
	}
	at, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return Activation{}, fmt.Errorf("%q is no line of a record: %w", line, err)
	}
	activation := Activation{At: at, Fallback: fields[1] == "true"}
	for _, field := range fields[2:] {
		version, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return Activation{}, fmt.Errorf("%q is no line of a record: %w", line, err)
		}
		activation.Versions = append(activation.Versions, version)
	}
	return activation, nil
}
