package platform

import (
	"strconv"
	"time"
)

// The platform kills a gateway that it ends after the longest time limit of its request classes, of which it counts
// maxDrain at most, and killDelay more.
const (
	maxDrain  = 3 * time.Second
	killDelay = 700 * time.Millisecond
)

// maxLongPoll leaves three of the six seconds after which changes count as delivered that a poll without a response
// missed: one until that is noticed, and two for the polls that follow.
const maxLongPoll = 3 * time.Second

// pollsPerInterval is how many polls fit into the time after which a gateway that has not polled counts as up to date
// all the same, so that a service that does not respond is noticed before.
const pollsPerInterval = 4

// ShutdownGrace is how long a gateway has from being told to end until it is killed.
func (c *Config) ShutdownGrace() time.Duration {
	longest := 0.0
	for i := range c.count("products.count") {
		longest = max(longest, c.number("products."+strconv.Itoa(i)+".patience"))
	}
	return min(milliseconds(longest), maxDrain) + killDelay
}

// LongPoll is how long the discovery service may let a poll wait for changes.
func (c *Config) LongPoll() time.Duration {
	interval := c.number("list.every")
	if interval <= 0 {
		return maxLongPoll
	}
	return min(milliseconds(interval/pollsPerInterval), maxLongPoll)
}

// number returns a setting of the scheduler; 0: it has none, or one that is no number.
func (c *Config) number(name string) float64 {
	value, err := strconv.ParseFloat(c.Settings[name], 64)
	if err != nil {
		return 0
	}
	return value
}

// count returns a setting of the scheduler that counts; 0: it has none, or one that is no number.
func (c *Config) count(name string) int {
	value, err := strconv.Atoi(c.Settings[name])
	if err != nil {
		return 0
	}
	return value
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
