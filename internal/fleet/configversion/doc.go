// Package configversion defines the configuration that all gateways of a fleet have to agree on, in numbered
// versions: the settings of the service and the list of storage nodes.
//
// Configurations are partially ordered by what they allow. Exceeds lists what one configuration allows and another
// does not. Intersect returns the loosest configuration that exceeds neither of two. Config.Fallback returns what a
// gateway may still do after its lease has expired. A gateway that acts on the intersection of two configurations
// conflicts with no gateway that acts on either of them. docs/fleet.md gives the reasons for this design.
//
// Package lease uses these operations to decide which configuration a gateway may act on; package config builds
// versions from files. The package is pure: it has no I/O, clock or randomness. A Version caches its parsed content
// without locking, so it must not be used by several goroutines at once.
package configversion
