// Package replica runs one replica of the configuration log: a process that keeps the log of configuration versions
// together with the other replicas of its group, by Raft, and grants leases on versions to gateways while it leads.
//
// The command "irispost keeper" starts a Replica; gateways and operators' commands call it through a Client. The
// package decides nothing about versions and leases itself: package lease is the pure state machine, and this
// package gives it a clock, a disk and a network. It is not pure.
//
// A Replica owns its folder (one bbolt file, see store and history), the Raft node, the state machine and the lease
// manager. All of these belong to one goroutine, Replica.run; HTTP handlers and connections to peers reach them only
// through Replica.do. docs/fleet.md has the argument why no two gateways act on versions that conflict.
package replica
