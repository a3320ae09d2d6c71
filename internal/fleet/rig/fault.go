package rig

import (
	"fmt"
	"strings"
	"time"
)

// Fault is what a link does to the bytes that pass. The zero Fault is a healthy link.
type Fault struct {
	DropForward bool          // bytes from the client to the server are lost, and neither learns of it
	DropReturn  bool          // bytes from the server to the client are lost, and neither learns of it
	Delay       time.Duration // each piece waits so long, and what follows it waits too
	Trickle     bool          // a byte at a time
	Reset       bool          // connections are reset, new ones too
}

// ParseFault reads a fault of a script: "cut", "deaf" (answers are lost), "mute" (requests are lost), "slow SPAN",
// "trickle" or "reset".
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
