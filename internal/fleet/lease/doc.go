// Package lease decides how the gateways of a fleet change from one version of their configuration to the
// next without ever contradicting each other.
//
// It has three parts:
//
//   - StateMachine is the state that the replicas' Raft log comes to. Each replica applies each committed
//     Command to its own.
//   - Manager runs at the leading replica, for one term. It answers the gateways' lease renewals and says
//     which Command to append next.
//   - Client runs in each gateway. It builds renewal requests, takes in the responses and says which
//     configuration is in effect.
//
// A version is announced once its proposal is committed, and in force once no gateway can act on the version
// before it alone. In between, a gateway that knows both acts on what both allow (configversion.Intersect). A
// gateway whose lease has expired acts on the fallback of its versions for a while, and then on nothing.
// docs/fleet.md has the argument and the times that follow from it.
//
// The package is pure: it has no I/O, clock or randomness, and no goroutines. Callers pass in the time, which
// is a reading of one process's own monotonic clock; readings of two processes are never compared. Nothing
// here is safe for concurrent use: a replica's goroutine owns its StateMachine and Manager, and whoever runs
// a Client guards it by a lock.
package lease
