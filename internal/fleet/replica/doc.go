// Package replica runs one replica of the configuration log. The replicas of a group keep a log of configuration
// versions with Raft, and the one that leads grants gateways leases on versions.
//
// The command "irispost keeper" starts a Replica; gateways and operators' commands call it through a Client. The rules
// for versions and leases are in package lease, a pure state machine; this package, which is not pure, supplies it
// with a clock, a disk and a network.
//
// A Replica owns its folder (one bbolt file, see store and history), the Raft node, the state machine and the lease
// manager. All of these belong to one goroutine, Replica.run; HTTP handlers and connections to peers reach them only
// through Replica.enqueue. docs/fleet.md explains why no two gateways act on versions that conflict.
package replica
