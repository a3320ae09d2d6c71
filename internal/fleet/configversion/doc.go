// Package configversion holds what the gateways of a fleet have to agree on, as numbered versions: the settings
// of the service and the list of storage nodes.
//
// Configurations are ordered by what they allow. Exceeds says what one configuration allows and another does not,
// Intersect makes the loosest configuration that exceeds neither of two, and Config.Fallback what a gateway may
// still do after its lease has expired. A gateway that acts on an intersection contradicts neither side.
// docs/fleet.md gives the reasons.
//
// Package lease decides by these which version a gateway may act on; package config builds versions from files.
// The package is pure: it has no I/O, clock or randomness. A Version keeps its parsed form, so it must not be used
// by several goroutines at once.
package configversion
