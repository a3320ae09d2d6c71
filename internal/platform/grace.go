package platform

import (
	"strconv"
	"time"
)

// The platform lets a gateway that it shuts down drain for the longest time limit of its request classes, but for no
// longer than maxDrain, and kills it killDelay after that.
const (
	maxDrain  = 3 * time.Second
	killDelay = 700 * time.Millisecond
)

// maxLongPoll is the longest that a poll may wait for changes. Changes that a poll missed because it got no response
// count as delivered after six seconds. Waiting for three of these leaves one second to notice that there is no
// response, and two for the polls that follow.
const maxLongPoll = 3 * time.Second

// pollsPerInterval is the number of polls in the time after which a gateway counts as up to date even if it has not
// polled. With several polls in that time, a service that does not respond is noticed before that time has
// passed.
const pollsPerInterval = 4

// ShutdownGrace returns the time from the platform's request to shut down until it kills the gateway.
func (c *Config) ShutdownGrace() time.Duration {
	longest := 0.0
	for i := range c.count("products.count") {
		longest = max(longest, c.number("products."+strconv.Itoa(i)+".patience"))
	}
	return min(milliseconds(longest), maxDrain) + killDelay
}

// LongPoll returns how long the discovery service may hold a poll while there are no changes.
func (c *Config) LongPoll() time.Duration {
	interval := c.number("list.every")
	if interval <= 0 {
		return maxLongPoll
	}
	return min(milliseconds(interval/pollsPerInterval), maxLongPoll)
}

// number returns a numeric setting of the scheduler, or 0 if it is missing or not a number.
func (c *Config) number(name string) float64 {
	value, err := strconv.ParseFloat(c.Settings[name], 64)
	if err != nil {
		return 0
	}
	return value
}

// count returns an integer setting of the scheduler, or 0 if it is missing or not an integer.
func (c *Config) count(name string) int {
	value, err := strconv.Atoi(c.Settings[name])
	if err != nil {
		return 0
	}
	return value
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
