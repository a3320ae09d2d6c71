// Package scale tests large fleets on a single machine. It runs cases, such as a rolling restart or a network
// partition, and checks that the fleet ends in the expected state.
//
// All gateways run in this process. Each has a real replica client, slow-start agent, event loop and scheduler, but it
// serves no clients, and a fake answers every attempt at once in place of the storage nodes. The replicas are separate
// processes. The fleet spans two regions. The links between the regions have latency and can be cut.
//
// The package is used by its tests and by `irispost fleet scale`. It owns the processes, links and files of the fleets
// that it starts, until Fleet.Close.
package scale
