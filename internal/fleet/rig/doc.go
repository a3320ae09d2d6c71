// Package rig puts faults between the processes of a fleet (Link), and checks from the records of gateways whether they
// acted on configurations that conflict (AuditPairs, AuditSweep).
//
// Scripted days and measurements (internal/day, internal/scale) and tests call it; no part of the product does. A Link
// owns its listener, its connections and their goroutines; the audits are pure.
package rig
