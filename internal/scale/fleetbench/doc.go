// Package fleetbench measures on one machine what replicas and the gateways that follow them cost at a size: bytes at
// the sockets, processor time, memory, and how long a change takes until it is in force.
//
// Replicas are processes. The gateways are their clients alone (internal/fleet/client), with real sockets, all in
// this process. It is used by `irispost fleet bench`; docs/fleet.md has the figures. A measurement owns its
// processes, relays and folder and removes them at its end.
package fleetbench
