package web

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/scheduler"
)

// move is the one place where a connection changes state; the lock is held. false tells that it has ended, or is to.
func (c *conn) move(to connState) bool {
	f := c.front
	if c.state == ended || c.state == lingering && to != ended {
		return false
	}
	if to == idle && f.phase >= closing {
		to = dismissed
	}
	switch c.state {
	case dismissed:
		f.dismissed--
	case lingering:
		f.lingers = slices.DeleteFunc(f.lingers, func(o *conn) bool { return o == c })
	}
	c.state, c.since = to, time.Now()
	switch to {
	case dismissed:
		f.dismissed++
		c.raw.SetReadDeadline(time.Unix(1, 0)) // wakes next
	case lingering:
		f.lingers = append(f.lingers, c)
		if f.phase < deaf && len(f.lingers) > f.opt.Limits.lingering() {
			f.lingers[0].move(ended) // it has had the longest time
		}
	case ended:
		c.raw.Close()
		delete(f.conns, c)
		if f.phase >= deaf && len(f.conns) == 0 {
			close(f.none)
		}
	}
	return true
}

func (c *conn) to(s connState) bool {
	c.front.lock.Lock()
	defer c.front.lock.Unlock()
	return c.move(s)
}

// serve takes one request after the other, and closes the connection.
func (c *conn) serve() {
	defer c.ahead.drop()
	for {
		gone, err := c.next()
		if err == nil {
			gone, err = c.request()
		}
		var wrong *http1.Error
		switch {
		case errors.As(err, &wrong):
			c.write(http1.NewResponse(wrong.Status).Field("Connection", "close").Body([]byte(wrong.Reason+"\n"), true))
		case err != nil && gone:
			c.to(ended)
			return
		case err == nil:
			c.raw.SetReadDeadline(time.Now().Add(c.front.opt.Limits.IdleTimeout)) // before it is idle: who dismisses it sets another
			if c.to(idle) {
				continue
			}
		}
		c.linger()
		return
	}
}

// errLast tells that a connection ends after an answer, or because nothing comes.
var errLast = errors.New("the connection ends")

// next waits for a request's first byte.
//
// Guard: who dismisses an idle connection only wakes this goroutine, which alone knows what it has read. A request that has come in
// by then is served and answered.
func (c *conn) next() (gone bool, err error) {
	if _, err = c.in.Peek(1); err != nil {
		if !isTimeout(err) {
			return true, err
		}
		if !says(c.raw) {
			return false, errLast
		}
	}
	if !c.to(reading) {
		return true, net.ErrClosed
	}
	return false, nil
}

func (c *conn) write(b []byte) error {
	c.raw.SetWriteDeadline(time.Now().Add(c.front.opt.Limits.WriteTimeout))
	_, err := c.raw.Write(b)
	return err
}

// request takes one request and answers it. gone tells that there is nobody any more to be told of the error.
func (c *conn) request() (gone bool, err error) {
	f := c.front
	limit := time.Now().Add(f.opt.Limits.RequestTimeout)
	if !c.until.IsZero() {
		limit, c.until = c.until, time.Time{}
		if least := time.Now().Add(lastBytes); limit.Before(least) { // it came at the last moment
			limit = least
		}
	}
	f.lock.Lock()
	if f.phase == over {
		limit = time.Unix(1, 0)
	}
	c.raw.SetReadDeadline(limit)
	f.lock.Unlock()
	q, err := http1.ReadRequest(c.in, f.opt.Limits.Message)
	if err != nil {
		return true, late(err)
	}
	if q.Target == "/healthz" {
		return c.health(q)
	}
	w, err := f.known.work(q)
	if err != nil {
		return false, err
	}
	id := w.Call.IdempotencyKey
	size := q.Framing.Bytes
	if q.Framing.Chunked {
		size = f.opt.Limits.Message.MaxBodyBytes
	}
	if err := f.enter(id, size); err != nil {
		return false, err
	}
	leave := sync.OnceFunc(func() { f.leave(id, size) })
	defer leave()
	if q.ExpectContinue {
		if err := c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return true, err
		}
	}
	if w.Call.Data, err = http1.ReadBody(c.in, q.Framing, f.opt.Limits.Message); err != nil {
		return true, late(err)
	}
	c.raw.SetReadDeadline(time.Time{})
	if !c.to(waiting) {
		return true, net.ErrClosed
	}
	w.Deadline = f.opt.Loop.Now() + w.Deadline
	w.OnResult = func() { c.raw.SetReadDeadline(time.Unix(1, 0)) } // wakes the look for the client's end below
	done := f.opt.Loop.Submit(c.session, w)
	if err := c.ahead.until(); err != nil {
		f.opt.Loop.CloseSession(c.session)
		<-done
		return true, err
	}
	r := <-done
	if r.State == scheduler.RequestClientCancelled || !c.to(writing) {
		return true, net.ErrClosed
	}
	leave() // before the client can know, who may ask again at once
	f.lock.Lock()
	last := q.Close || f.phase >= closing || c.ahead.over
	f.lock.Unlock()
	return c.answered(answer(r, last), last)
}

// answered sends an answer, after which the connection may end.
func (c *conn) answered(b []byte, last bool) (gone bool, err error) {
	if err := c.write(b); err != nil {
		return true, err
	}
	if last {
		return false, errLast
	}
	return false, nil
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// late gives a request that does not come to its end in time its answer.
func late(err error) error {
	if isTimeout(err) {
		return &http1.Error{Status: 408, Reason: "the request did not come to its end in time"}
	}
	return err
}

// answer puts a job's result into a message.
func answer(r gateway.Result, last bool) []byte {
	var w *http1.MessageBuilder
	body := r.Reply.Data
	switch r.State {
	case scheduler.RequestSucceeded:
		w = http1.NewResponse(200)
	case scheduler.RequestRejected:
		w, body = http1.NewResponse(503), []byte("dismissed: trying again is harmless\n")
		if r.RetryAfter > 0 {
			ms := (r.RetryAfter + time.Millisecond - 1) / time.Millisecond
			w.Field("Retry-After", fmt.Sprintf("%d.%03d", ms/1000, ms%1000))
		}
	default:
		w, body = http1.NewResponse(502), []byte("written off: it may have been done or not\n")
	}
	if last {
		w.Field("Connection", "close")
	}
	return w.Body(body, true)
}

// health answers whether the gateway can be used.
func (c *conn) health(q *http1.Request) (bool, error) {
	if q.Method != "GET" || q.Framing.Bytes > 0 || q.Framing.Chunked {
		return false, &http1.Error{Status: 405, Reason: "GET alone"}
	}
	c.front.lock.Lock()
	leaves := c.front.phase > open
	c.front.lock.Unlock()
	if leaves {
		return false, &http1.Error{Status: 503, Reason: "the gateway ends"}
	}
	w := http1.NewResponse(200)
	if q.Close {
		w.Field("Connection", "close")
	}
	return c.answered(w.Body([]byte("ok\n"), true), q.Close)
}
