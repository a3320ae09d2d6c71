package standin

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// errReset is the reason with which the faults "reset" and "refuse" close connections.
var errReset = errors.New("connection reset by fault injection")

// faults holds the faults that are injected.
type faults struct {
	failShare         float64 // fraction of executions that fail; half of them take effect nevertheless
	slowFactor        float64 // multiplies the execution time
	dropShare         float64 // fraction of replies that are not sent
	hang              bool    // queued attempts are not executed
	refuseConnections bool
	isolatedGateway   string // attempts from this gateway are dropped without a reply; empty: none
	stalledUntil      time.Time
}

var noFaults = faults{slowFactor: 1}

// Command injects a fault: "fail SHARE", "slow FACTOR", "drop SHARE", "hang", "stall DURATION", "refuse" (closes all
// connections and refuses new ones), "cut GATEWAY" or "reset" (closes all connections). "well" ends all faults.
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
		return fmt.Errorf("unknown fault command: %q", text)
	}
	return nil
}

// parseFaultNumber parses the argument of the named fault, a number that must not be negative, and stores it.
func parseFaultNumber(name, text string, number *float64) error {
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil || parsed < 0 {
		return fmt.Errorf("fault %q requires a non-negative number", name)
	}
	*number = parsed
	return nil
}

func (n *Node) resetConnections() {
	for _, conn := range n.server.Conns() {
		conn.Close(errReset)
	}
}
