// Package lease moves the gateways of a fleet from one version of their configuration to the next, such that no
// two gateways ever apply contradicting configurations.
//
// It has three parts:
//
//   - StateMachine is the state that results from the replicas' Raft log. Each replica applies every committed
//     Command to its own instance.
//   - Manager runs at the leading replica, for one term. It answers the gateways' lease renewals and decides
//     which Command to append next.
//   - Client runs in each gateway. It builds renewal requests, processes the responses and determines which
//     configuration is in effect.
//
// A version is announced once its proposal is committed, and in force once no gateway can still be applying the
// previous version alone. In between, a gateway that knows both versions applies only what both allow
// (configversion.Intersect). A gateway whose lease has expired applies the fallback of its versions for a
// limited time, and then no configuration at all. docs/fleet.md has the safety argument and the time bounds
// that follow from it.
//
// The package performs no I/O, reads no clock, uses no randomness and starts no goroutines. Callers pass in the
// time, a reading of their own process's monotonic clock; readings of two processes are never compared. Nothing
// here is safe for concurrent use: a replica's goroutine owns its StateMachine and Manager, and the owner of a
// Client guards it with a lock.
package lease
