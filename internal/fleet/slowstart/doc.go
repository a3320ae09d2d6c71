// Package slowstart has the simulations of its sub-packages together, which are tests; it has no code of its
// own. What storage nodes in slow start may be sent is allocated among the gateways of a fleet: package epoch
// says who owns a node's budget, package budget allocates it, and package agent is a gateway's part in that.
// docs/fleet-cold.md has the argument.
package slowstart
