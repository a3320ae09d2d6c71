package standin

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// errReset is why the fault "reset" closes connections.
var errReset = errors.New("reset")

// faults are the faults in force.
type faults struct {
	failShare         float64 // share of executions that fail; half of them have their effect all the same
	slowFactor        float64 // of the time of executions
	dropShare         float64 // share of answers that are lost
	hang              bool    // nothing is executed
	refuseConnections bool
	isolatedGateway   string // its packets are lost both ways; empty: none
	stalledUntil      time.Time
}

var noFaults = faults{slowFactor: 1}

// Command sets a fault: "fail SHARE", "slow FACTOR", "drop SHARE", "hang", "stall DURATION", "refuse", "cut GATEWAY",
// "reset" (breaks all connections), or "well" for an end to all.
func (n *Node) Command(text string) error {
	name, argument, _ := strings.Cut(text, " ")
	n.lock.Lock()
	defer n.lock.Unlock()
	defer n.wakeCores.Broadcast()
	faults := &n.faults
	switch name {
	case "fail":
		return parseFaultNumber(name, argument, &faults.failShare)
	case "slow":
		return parseFaultNumber(name, argument, &faults.slowFactor)
	case "drop":
		return parseFaultNumber(name, argument, &faults.dropShare)
	case "hang":
		faults.hang = true
	case "refuse":
		faults.refuseConnections = true
		go n.resetConnections()
	case "reset":
		go n.resetConnections()
	case "cut":
		faults.isolatedGateway = argument
	case "stall":
		duration, err := time.ParseDuration(argument)
		if err != nil {
			return err
		}
		faults.stalledUntil = time.Now().Add(duration)
	case "well":
		*faults = noFaults
	default:
		return fmt.Errorf("no such trouble: %q", text)
	}
	return nil
}

// parseFaultNumber sets a fault's number, which must not be negative.
func parseFaultNumber(name, text string, number *float64) error {
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q needs a number", name)
	}
	*number = parsed
	return nil
}

func (n *Node) resetConnections() {
	for _, conn := range n.server.Conns() {
		conn.Close(errReset)
	}
}
