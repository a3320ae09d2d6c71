package webnode

import (
	"bufio"
	"runtime"

	"irispost/internal/http1"
)

// readResponse reads a response. A body over the usual limit is accepted if the budget for long bodies allows it.
func (c *Client) readResponse(reader *bufio.Reader) (*http1.Response, error) {
	reserved := int64(0)
	limits := c.opt.ResponseLimits
	limits.MaxLongBody = c.opt.MaxLongBody
	limits.AdmitLongBody = func(bytes int64) bool {
		ok := c.reserveLongBody(bytes)
		if ok {
			reserved = bytes
		}
		return ok
	}
	response, err := http1.ReadResponse(reader, limits)
	switch {
	case reserved > 0 && err == nil:
		c.longBodyBytes.Add(int64(len(response.Body)) - reserved) // without a stated length, MaxLongBody was reserved
		c.releaseWhenFreed(response.Body)
	case reserved > 0:
		c.longBodyBytes.Add(-reserved)
	}
	return response, err
}

// reserveLongBody reserves bytes of the budget for a long body. It returns false if the body is too long or too
// little of the budget is left.
func (c *Client) reserveLongBody(bytes int64) bool {
	if bytes > c.opt.MaxLongBody {
		return false
	}
	if c.longBodyBytes.Add(bytes) > c.opt.LongBodyBudget {
		c.longBodyBytes.Add(-bytes)
		return false
	}
	return true
}

// releaseWhenFreed returns a long body's bytes to the budget when the garbage collector finds the body unreachable,
// whoever held it last.
func (c *Client) releaseWhenFreed(body []byte) {
	runtime.AddCleanup(&body[0], func(bytes int64) { c.longBodyBytes.Add(-bytes) }, int64(len(body)))
}
