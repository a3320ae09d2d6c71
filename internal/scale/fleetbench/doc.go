// Package fleetbench measures, on one machine, the resources that replicas and the gateways that follow them use for a
// given number of gateways and nodes: bytes at the sockets, CPU time, memory, and the time until a change is in force.
//
// Each replica is a process. Of each gateway only the client of the replicas (internal/fleet/client) runs, with real
// sockets; all clients share this process. `irispost fleet bench` runs the measurements; docs/fleet.md has results.
// A measurement owns its processes, relays and directory, and removes them when it ends.
package fleetbench
