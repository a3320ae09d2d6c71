package discovery

// Pending tells how many wishes to ask wait.
func (c *Client) Pending() int { return len(c.wake) }
