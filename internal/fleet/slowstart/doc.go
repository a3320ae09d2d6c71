// Package slowstart contains only tests: simulations of its sub-packages working together. While a storage node
// is in slow start, the units that may be sent to it are allocated among the gateways of a fleet: package epoch
// determines which gateway owns a node's budget, package budget allocates it, and package agent runs both in a
// gateway. docs/fleet-cold.md explains why the limits hold.
package slowstart
