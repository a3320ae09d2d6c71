// Package scale runs a whole fleet on one machine and checks what a case, such as a rolling restart or a network
// partition, does to it.
//
// The gateways are hollow: each has a real client of the replicas, slow-start agent, event loop and scheduler, but no
// clients, and its storage nodes are a fake that answers every attempt at once. Many of them run in this process. The
// replicas are processes of their own. Links between two regions have latency and can be cut.
//
// The package is used by its tests and by `irispost fleet scale`. It owns the processes, links and files of the
// fleets it starts, until Fleet.Close.
package scale
