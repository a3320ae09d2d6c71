package rig

import (
	"fmt"
	"strings"
	"time"
)

// Fault describes what a link does to the bytes that it forwards. The zero Fault is a healthy link.
type Fault struct {
	DropForward bool          // bytes from the client to the server are dropped silently
	DropReturn  bool          // bytes from the server to the client are dropped silently
	Delay       time.Duration // each chunk is delayed by this time before it is written, and so delays those behind it
	Trickle     bool          // bytes are forwarded one at a time, every trickleInterval
	Reset       bool          // existing and new connections are reset
}

// ParseFault parses a fault of a scenario script: "cut" (both directions are dropped), "deaf" (responses are dropped),
// "mute" (requests are dropped), "slow SPAN" (SPAN is a duration), "trickle" or "reset".
func ParseFault(text string) (Fault, error) {
	word, argument, _ := strings.Cut(text, " ")
	switch word {
	case "cut":
		return Fault{DropForward: true, DropReturn: true}, nil
	case "mute":
		return Fault{DropForward: true}, nil
	case "deaf":
		return Fault{DropReturn: true}, nil
	case "trickle":
		return Fault{Trickle: true}, nil
	case "reset":
		return Fault{Reset: true}, nil
	case "slow":
		delay, err := time.ParseDuration(argument)
		return Fault{Delay: delay}, err
	default:
		return Fault{}, fmt.Errorf("%q: a link is cut, mute, deaf, slow SPAN, trickle or reset", text)
	}
}
