// Package rig injects network faults between the processes of a fleet (Link), and checks from the activation records
// of gateways whether they acted on conflicting configurations (AuditPairs, AuditSweep).
//
// Scripted scenarios and measurements (internal/day, internal/scale) and tests use it; production code does not. A
// Link owns its listener, its connections and their goroutines. The audits are pure.
package rig
