package membership

// Time is a point in time, in nanoseconds since 1970, or a duration in nanoseconds.
type Time = int64

// Settings are the limits and durations that govern membership decisions.
type Settings struct {
	// MaxLossRatio is the fraction of the shards in use, from 0 to 1, that may lose their last node within HoldDown.
	// A larger loss is held down.
	MaxLossRatio float64
	// HoldDown is the time after which another update from its source confirms a loss that is held down. Without such
	// an update the loss is accepted after holdDownLimit times HoldDown. 0 disables hold-down.
	HoldDown Time
	// RemovalGrace is how long a removed node keeps its identity. It lets attempts in flight end, and during it the
	// node's address can't be used for another shard.
	RemovalGrace Time
	// MaxFlaps is the number of changes back to ready within FlapWindow that take effect immediately.
	MaxFlaps   int
	FlapWindow Time
	// DampingTime is how long a flapping node must stay ready before it is used again.
	DampingTime Time
	// StaleAfter is the time after the loss of the connection to a source from which its list is considered stale.
	StaleAfter Time
	// ForgetAfter is the time after which a removed node is forgotten, counted from the end of its removal grace.
	ForgetAfter Time
}

// DefaultSettings are used unless the configuration overrides them.
var DefaultSettings = Settings{
	MaxLossRatio: 0.5,
	HoldDown:     10e9,
	RemovalGrace: 2e9,
	MaxFlaps:     5,
	FlapWindow:   30e9,
	DampingTime:  3e9,
	StaleAfter:   60e9,
	ForgetAfter:  600e9,
}
