package rig

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Activation is what a gateway acts on from a point in time.
type Activation struct {
	At       int64    // nanoseconds, on one clock for all gateways
	Versions []uint64 // version numbers; of several the intersection is in effect; none: it serves nothing
	Fallback bool     // the fallbacks of the versions are in effect
}

// ReadActivations reads a gateway's activation record. Each line has the time, whether the fallbacks are in effect,
// and the version numbers in brackets: "1500 false [3 4]".
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
		return Activation{}, fmt.Errorf("invalid line %q in an activation record", line)
	}
	at, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return Activation{}, fmt.Errorf("invalid line %q in an activation record: %w", line, err)
	}
	activation := Activation{At: at, Fallback: fields[1] == "true"}
	for _, field := range fields[2:] {
		version, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return Activation{}, fmt.Errorf("invalid line %q in an activation record: %w", line, err)
		}
		activation.Versions = append(activation.Versions, version)
	}
	return activation, nil
}
