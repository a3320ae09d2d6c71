package membership

// Time is a moment or a span in nanoseconds; moments count from 1970.
type Time = int64

// Settings are the limits and time spans that membership is decided with.
type Settings struct {
	// MaxLossRatio is the share of the shards in use, from 0 to 1, that may lose their last node within HoldDown
	// without being held down.
	MaxLossRatio float64
	// HoldDown is how long such a loss is held down before a further update of its source confirms it. Without one it
	// is accepted after holdDownLimit times as long. 0 switches hold-down off.
	HoldDown Time
	// RemovalGrace is how long a removed node keeps its identity: attempts in flight end in that time, and its address
	// can't be taken into use for another shard.
	RemovalGrace Time
	// MaxFlaps is the number of changes to ready within FlapWindow that take effect at once.
	MaxFlaps   int
	FlapWindow Time
	// DampingTime is how long a flapping node has to stay ready before it is used again.
	DampingTime Time
	// StaleAfter is how long after a source was disconnected its list counts as stale.
	StaleAfter Time
	// ForgetAfter is how long after its removal a node is forgotten.
	ForgetAfter Time
}

// DefaultSettings hold where the configuration says nothing else.
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
