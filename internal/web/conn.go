package web

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"irispost/decide"
	"irispost/internal/gateway"
	"irispost/internal/http1"
)

// move is the one place where a connection changes state; the lock is held. false tells that it has ended.
func (c *conn) move(to connState) bool {
	if c.state == ended {
		return false
	}
	c.state, c.since = to, time.Now()
	if to == ended {
		c.raw.Close()
		delete(c.front.conns, c)
		if c.front.phase >= deaf && len(c.front.conns) == 0 {
			close(c.front.none)
		}
	}
	return true
}

func (c *conn) to(s connState) bool {
	c.front.lock.Lock()
	defer c.front.lock.Unlock()
	return c.move(s)
}

// serve takes one request after the other.
func (c *conn) serve() {
	defer c.to(ended)
	c.raw.SetReadDeadline(c.until)
	for {
		if _, err := c.in.Peek(1); err != nil {
			return
		}
		if !c.to(reading) {
			return
		}
		again, err := c.request()
		if err != nil || !again {
			c.refuse(err)
			return
		}
		if !c.to(idle) {
			return
		}
		c.raw.SetReadDeadline(time.Now().Add(c.front.opt.Limits.Idle))
	}
}

// refuse tells a client what is wrong with its request, and lets what it still sends go by for a moment, since a close on
// unread bytes would take the answer with it.
func (c *conn) refuse(err error) {
	var wrong *http1.Error
	if !errors.As(err, &wrong) {
		return
	}
	if c.write(http1.NewAnswer(wrong.Status).Field("Connection", "close").Body([]byte(wrong.Why+"\n"), true)) != nil {
		return
	}
	if t, ok := c.raw.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.raw.SetReadDeadline(time.Now().Add(lastBytes))
	io.CopyN(io.Discard, c.in, 4*c.front.opt.Limits.Message.Body)
}

func (c *conn) write(b []byte) error {
	c.raw.SetWriteDeadline(time.Now().Add(c.front.opt.Limits.Write))
	_, err := c.raw.Write(b)
	return err
}

// request takes one request and answers it; false tells that the connection ends with it.
func (c *conn) request() (again bool, err error) {
	f := c.front
	limit := time.Now().Add(f.opt.Limits.Request)
	if !c.until.IsZero() {
		limit, c.until = c.until, time.Time{}
	}
	c.raw.SetReadDeadline(limit)
	q, err := http1.ReadRequest(c.in, f.opt.Limits.Message)
	if err != nil {
		return false, late(err)
	}
	if q.Target == "/healthz" {
		return c.health(q)
	}
	w, err := f.known.work(q)
	if err != nil {
		return false, err
	}
	id := w.Call.Mark
	size := q.Length.Bytes
	if q.Length.Chunked {
		size = f.opt.Limits.Message.Body
	}
	if err := f.enter(id, size); err != nil {
		return false, err
	}
	leave := sync.OnceFunc(func() { f.leave(id, size) })
	defer leave()
	if q.Waits {
		if err := c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false, err
		}
	}
	if w.Call.Data, err = http1.ReadBody(c.in, q.Length, f.opt.Limits.Message); err != nil {
		return false, late(err)
	}
	c.raw.SetReadDeadline(time.Time{})
	if !c.to(waiting) {
		return false, net.ErrClosed
	}
	w.StopBy = f.opt.Loop.Now() + w.StopBy
	w.Told = func() { c.raw.SetReadDeadline(time.Unix(1, 0)) } // wakes the look for the client's end below
	done := f.opt.Loop.Do(c.session, w)
	if _, err := c.in.Peek(1); err != nil && !isTimeout(err) {
		f.opt.Loop.Left(c.session)
		<-done
		return false, err
	}
	r := <-done // where the next request is here already, the client's end is not seen before it is read
	if r.State == decide.Withdrawn || !c.to(writing) {
		return false, net.ErrClosed
	}
	leave() // before the client can know, who may ask again at once
	f.lock.Lock()
	last := q.Close || f.phase == closing
	f.lock.Unlock()
	return !last, c.write(answer(r, last))
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// late gives a request that does not come to its end in time its answer.
func late(err error) error {
	if isTimeout(err) {
		return &http1.Error{Status: 408, Why: "the request did not come to its end in time"}
	}
	return err
}

// answer puts a job's result into a message.
func answer(r gateway.Result, last bool) []byte {
	var w *http1.Writer
	body := r.Answer.Data
	switch r.State {
	case decide.Completed:
		w = http1.NewAnswer(200)
	case decide.Dismissed:
		w, body = http1.NewAnswer(503), []byte("dismissed: trying again is harmless\n")
		if r.Wait > 0 {
			ms := (r.Wait + time.Millisecond - 1) / time.Millisecond
			w.Field("Retry-After", fmt.Sprintf("%d.%03d", ms/1000, ms%1000))
		}
	default:
		w, body = http1.NewAnswer(502), []byte("written off: it may have been done or not\n")
	}
	if last {
		w.Field("Connection", "close")
	}
	return w.Body(body, true)
}

// health answers whether the gateway can be used.
func (c *conn) health(q *http1.Request) (bool, error) {
	if q.Method != "GET" || q.Length.Bytes > 0 || q.Length.Chunked {
		return false, &http1.Error{Status: 405, Why: "GET alone"}
	}
	c.front.lock.Lock()
	leaves := c.front.phase > open
	c.front.lock.Unlock()
	if leaves {
		return false, &http1.Error{Status: 503, Why: "the gateway ends"}
	}
	w := http1.NewAnswer(200)
	if q.Close {
		w.Field("Connection", "close")
	}
	return !q.Close, c.write(w.Body([]byte("ok\n"), true))
}
