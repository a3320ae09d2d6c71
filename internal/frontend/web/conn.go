package web

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/scheduler"
)

// conn is a client connection. Its fields belong to its goroutine unless noted otherwise.
type conn struct {
	server        *Server
	raw           net.Conn
	ahead         readAhead
	reader        *bufio.Reader // reads from ahead
	session       *gateway.Session
	firstDeadline time.Time // deadline for receiving the first request; zero once that is being read

	state connState // guarded by the server's lock
	since time.Time // time of the last state change; guarded by the server's lock
}

// errLastResponse makes serve close a connection after its last response, or because no request has arrived in time.
var errLastResponse = errors.New("no further request on this connection")

// continueResponse asks a client for the body of its request (RFC 9110, 15.2.1).
var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// serve handles requests one after another and then closes the connection.
func (c *conn) serve() {
	defer c.ahead.discard()
	for {
		disconnected, err := c.awaitRequest()
		if err == nil {
			disconnected, err = c.handleRequest()
		}
		var rejected *http1.Error
		switch {
		case errors.As(err, &rejected):
			_ = c.write(rejectionResponse(rejected.Status, rejected.Reason)) // the connection is closed in any case
		case err != nil && disconnected:
			c.setState(stateClosed)
			return
		case err == nil:
			// Set before the state becomes idle, because closing an idle connection sets another deadline.
			_ = c.raw.SetReadDeadline(time.Now().Add(c.server.opt.Limits.IdleTimeout))
			if c.setState(stateIdle) {
				continue
			}
		}
		c.linger()
		return
	}
}

// awaitRequest waits for the first byte of a request. disconnected means that the connection has failed or is closed.
//
// To close an idle connection, other goroutines only wake this one by a read deadline, since only this one knows what
// has been read: a request that has arrived by then is still served.
func (c *conn) awaitRequest() (disconnected bool, err error) {
	if _, err = c.reader.Peek(1); err != nil {
		if !isTimeout(err) {
			return true, err
		}
		if !hasUnreadBytes(c.raw) {
			return false, errLastResponse
		}
	}
	if !c.setState(stateReading) {
		return true, net.ErrClosed
	}
	return false, nil
}

// handleRequest reads one request and responds to it. An error of type *http1.Error is a rejection that still has to
// be sent, and errLastResponse ends the connection. With any other error, disconnected means that no response can be
// sent any more.
func (c *conn) handleRequest() (disconnected bool, err error) {
	s := c.server
	c.setRequestDeadline()
	request, err := http1.ReadRequest(c.reader, s.opt.Limits.Message)
	if err != nil {
		return true, rejectTimeout(err)
	}
	if request.Target == healthPath {
		return c.handleHealth(request)
	}
	spec, err := s.catalog.parseSpec(request)
	if err != nil {
		return false, err
	}
	id, bodyBytes := spec.Call.IdempotencyKey, c.maxBodyBytes(request)
	if err := s.beginRequest(id, bodyBytes); err != nil {
		return false, err
	}
	endRequest := sync.OnceFunc(func() { s.endRequest(id, bodyBytes) })
	defer endRequest()
	if err := c.readBody(request, spec); err != nil {
		return true, err
	}
	result, err := c.execute(spec)
	if result.MayHaveRun {
		s.recordRun(id, spec.Class)
	}
	if err != nil {
		return true, err
	}
	endRequest() // before responding, because the client may reuse the ID as soon as it has the result
	s.mu.Lock()
	last := request.Close || s.phase >= phaseClosing || c.ahead.truncated
	s.mu.Unlock()
	return c.respond(resultResponse(result, last), last)
}

// setRequestDeadline sets the deadline for receiving the rest of the request.
func (c *conn) setRequestDeadline() {
	s := c.server
	deadline := time.Now().Add(s.opt.Limits.RequestTimeout)
	if !c.firstDeadline.IsZero() {
		deadline, c.firstDeadline = c.firstDeadline, time.Time{}
		// A request that begins just before the deadline gets a little longer.
		if earliest := time.Now().Add(lingerTimeout); deadline.Before(earliest) {
			deadline = earliest
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == phaseDeadline {
		deadline = pastDeadline
	}
	_ = c.raw.SetReadDeadline(deadline)
}

// maxBodyBytes returns the maximum size of the request's body.
func (c *conn) maxBodyBytes(request *http1.Request) int64 {
	if request.Framing.Chunked {
		return c.server.opt.Limits.Message.MaxBodyBytes
	}
	return request.Framing.Bytes
}

// readBody reads the body of the request into spec.
func (c *conn) readBody(request *http1.Request, spec *gateway.RequestSpec) error {
	if request.ExpectContinue {
		if err := c.write(continueResponse); err != nil {
			return err
		}
	}
	body, err := http1.ReadBody(c.reader, request.Framing, c.server.opt.Limits.Message)
	if err != nil {
		return rejectTimeout(err)
	}
	spec.Call.Data = body
	return nil
}

// execute submits the request to the loop and waits for its result or for the client to close the connection. After an
// error, no response can be sent any more; the result still tells whether the request may have run.
func (c *conn) execute(spec *gateway.RequestSpec) (result gateway.Result, err error) {
	loop := c.server.opt.Loop
	_ = c.raw.SetReadDeadline(time.Time{})
	if !c.setState(stateWaiting) {
		return result, net.ErrClosed
	}
	if err := c.ahead.readArrived(); err != nil {
		return result, err // the client has left already
	}
	spec.Deadline = loop.Now() + spec.Deadline
	spec.ClientLeft = func() bool { return hasClientLeft(c.raw) }
	spec.OnResult = func() { _ = c.raw.SetReadDeadline(pastDeadline) } // interrupts the read-ahead below
	done := loop.Submit(c.session, spec)
	if err := c.ahead.readUntilDeadline(); err != nil {
		loop.CloseSession(c.session)
		return <-done, err
	}
	result = <-done
	if result.State == scheduler.RequestClientCancelled || !c.setState(stateWriting) {
		return result, net.ErrClosed
	}
	return result, nil
}

// respond sends a response. If it is the last one of the connection, it returns errLastResponse.
func (c *conn) respond(response []byte, last bool) (disconnected bool, err error) {
	if err := c.write(response); err != nil {
		return true, err
	}
	if last {
		return false, errLastResponse
	}
	return false, nil
}

func (c *conn) write(b []byte) error {
	_ = c.raw.SetWriteDeadline(time.Now().Add(c.server.opt.Limits.WriteTimeout))
	_, err := c.raw.Write(b)
	return err
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// rejectTimeout converts a timeout while receiving a request into a rejection with status 408.
func rejectTimeout(err error) error {
	if isTimeout(err) {
		return &http1.Error{Status: http.StatusRequestTimeout, Reason: "the request did not come to its end in time"}
	}
	return err
}
