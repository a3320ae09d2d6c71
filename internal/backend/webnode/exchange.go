package webnode

import (
	"bufio"
	"errors"
	"fmt"
	"runtime"
	"strconv"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/http1"
)

// write sends an execution, unless its time to begin has gone by while the connection came up or was waited for.
func (l *link) write(s *Attempt) {
	c, call := l.client, s.call
	gone := time.Since(s.began)
	left := call.Timeout - gone
	if left <= 0 || call.StartWithin > 0 && gone >= call.StartWithin {
		l.unused()
		s.finish(node.Reply{Outcome: node.ConnectFailed, Message: "its time to begin has gone by"})
		return
	}
	w := http1.NewRequest(method(call.Op), call.Name).Field("Host", c.opt.Host).Field("X-Request-Id", call.IdempotencyKey).
		Field("X-Deadline-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	for i := 0; i+1 < len(call.Headers); i += 2 {
		w.Field(call.Headers[i], call.Headers[i+1])
	}
	b := w.Body(call.Data, call.Op.Writes())
	n, err := l.conn.Write(b)
	defer close(l.wrote)
	c.lock.Lock()
	ended := l.state == ended
	switch {
	case err != nil:
		l.end()
	case !ended:
		l.move(waiting)
	}
	c.lock.Unlock()
	switch {
	case err == nil && ended:
		s.finish(node.Reply{Outcome: node.ConnectionReset, Message: "the connection ended while it was written to"})
	case err != nil: // its last byte is not written, so it never ran
		s.finish(node.Reply{Outcome: node.ConnectFailed, Message: fmt.Sprintf("%d of %d bytes written: %v", n, len(b), err)})
	}
}

func method(o node.Operation) string {
	if o.Writes() {
		return "PUT"
	}
	return "GET"
}

// allow takes a long body in, where there is room.
func (c *Client) allow(bytes int64) bool {
	if bytes > c.opt.MaxLongBody {
		return false
	}
	if c.long.Add(bytes) > c.opt.LongBodyBudget {
		c.long.Add(-bytes)
		return false
	}
	return true
}

// freed gives a long body's room back once it is out of memory, whoever held it last.
func (c *Client) freed(body []byte) {
	runtime.AddCleanup(&body[0], func(n int64) { c.long.Add(-n) }, int64(len(body)))
}

// read takes in what the node sends, for as long as the connection lasts.
func (l *link) read() {
	c := l.client
	r := bufio.NewReaderSize(l.conn, http1.MaxLineBytes)
	for {
		_, err := r.Peek(1)
		c.lock.Lock()
		if err == nil && l.state == writing { // an answer can be here before who wrote is back from the socket
			wrote := l.wrote
			c.lock.Unlock()
			<-wrote
			c.lock.Lock()
		}
		s, state := l.out, l.state
		if err != nil || state != waiting { // the end, or bytes that nobody waits for
			l.end()
			c.lock.Unlock()
			if state == waiting { // else who writes finds the link ended
				s.finish(node.Reply{Outcome: node.ConnectionReset, Message: err.Error()})
			}
			return
		}
		c.lock.Unlock()
		asked := int64(0)
		bounds := c.opt.Bounds
		bounds.MaxLongBody = c.opt.MaxLongBody
		bounds.AdmitLongBody = func(bytes int64) bool {
			ok := c.allow(bytes)
			if ok {
				asked = bytes
			}
			return ok
		}
		a, err := http1.ReadResponse(r, bounds)
		switch {
		case asked > 0 && err == nil:
			c.long.Add(int64(len(a.Body)) - asked) // where its length was not stated, the most was asked for
			c.freed(a.Body)
		case asked > 0:
			c.long.Add(-asked)
		}
		answer := outcome(a, err)
		c.lock.Lock()
		switch {
		case l.state == ended:
		case err != nil || a.Close || r.Buffered() > 0: // what comes after an answer is nobody's
			l.end()
		default:
			l.move(idle)
			c.admit()
		}
		over := l.state == ended
		c.lock.Unlock()
		s.finish(answer)
		if over {
			return
		}
	}
}

// outcome reads what an execution came to.
func outcome(a *http1.Response, err error) node.Reply {
	if err != nil {
		var wrong *http1.Error
		if errors.As(err, &wrong) {
			return node.Reply{Outcome: node.Failed, Message: "a spoilt answer: " + err.Error()}
		}
		return node.Reply{Outcome: node.ConnectionReset, Message: err.Error()}
	}
	never, _ := a.Fields.Get("x-not-run")
	n := node.Reply{Outcome: node.Failed, Message: fmt.Sprintf("status %d", a.Status)}
	switch {
	case a.Status == 200:
		n = node.Reply{Outcome: node.Executed, Data: a.Body}
	case a.Status == 503 && never == "1":
		n.Outcome = node.QueueFull
	case a.Status == 504 && never == "1":
		n.Outcome = node.WrongShard
	}
	if v, ok := a.Fields.Get("x-served-elsewhere"); ok {
		if f, err := strconv.ParseFloat(v, 64); err == nil && f > 0 && f < 1e12 { // one that can't be read changes nothing
			n.UnitsElsewhere = f
		}
	}
	return n
}
