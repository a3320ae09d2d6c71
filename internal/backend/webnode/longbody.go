package webnode

import (
	"bufio"
	"runtime"

	"irispost/internal/http1"
)

// readResponse reads a response. A body over the usual limit is accepted while the budget for such bodies lasts.
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
		c.longBodyBytes.Add(int64(len(response.Body)) - reserved) // the most was reserved if no length was stated
		c.releaseWhenFreed(response.Body)
	case reserved > 0:
		c.longBodyBytes.Add(-reserved)
	}
	return response, err
}

// reserveLongBody reserves memory for a long body. It returns false if there is not so much left.
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

// releaseWhenFreed gives a long body's memory back to the budget once the body is garbage, whoever held it last.
func (c *Client) releaseWhenFreed(body []byte) {
	runtime.AddCleanup(&body[0], func(bytes int64) { c.longBodyBytes.Add(-bytes) }, int64(len(body)))
}
