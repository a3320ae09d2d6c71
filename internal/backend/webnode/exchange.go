package webnode

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/http1"
)

// Header fields of a response that the client reads, in lower case.
const (
	fieldNotRun          = "x-not-run"
	fieldServedElsewhere = "x-served-elsewhere"
)

// maxUnitsElsewhere is an exclusive limit on the units that a node may report as served through other gateways.
const maxUnitsElsewhere = 1e12

// write sends an attempt, unless it was ended or its deadline passed while it waited for the connection.
func (c *conn) write(attempt *Attempt) {
	call := attempt.call
	elapsed := time.Since(attempt.startedAt)
	remaining := call.Timeout - elapsed
	if remaining <= 0 || call.StartWithin > 0 && elapsed >= call.StartWithin {
		c.release()
		attempt.fail(node.ConnectFailed, "too late to send")
		return
	}
	request := c.client.encodeRequest(call, remaining)
	defer close(c.written)
	if !attempt.begin() {
		return
	}
	n, err := c.raw.Write(request)
	c.client.mu.Lock()
	closed := c.state == stateClosed
	switch {
	case err != nil:
		c.close()
	case !closed:
		c.transition(stateWaiting)
	}
	c.client.mu.Unlock()
	switch {
	case err == nil && closed:
		attempt.fail(node.ConnectionReset, "the connection was closed while the request was written")
	case err != nil: // the node did not get the last byte, so the request never ran
		attempt.fail(node.ConnectFailed, fmt.Sprintf("%d of %d bytes written: %v", n, len(request), err))
	}
}

// encodeRequest encodes a call as an HTTP request. remaining is how long the gateway still waits for the response.
func (c *Client) encodeRequest(call *node.Call, remaining time.Duration) []byte {
	request := http1.NewRequest(method(call.Op), call.Name).
		Field("Host", c.opt.Host).
		Field("X-Request-Id", call.IdempotencyKey).
		Field("X-Deadline-Ms", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	for i := 0; i+1 < len(call.Headers); i += 2 {
		request.Field(call.Headers[i], call.Headers[i+1])
	}
	return request.Body(call.Data, call.Op.Writes())
}

func method(op node.Operation) string {
	if op.Writes() {
		return http.MethodPut
	}
	return http.MethodGet
}

// readLoop reads responses until the connection is closed.
func (c *conn) readLoop() {
	reader := bufio.NewReaderSize(c.raw, http1.MaxLineBytes)
	for {
		attempt, ok := c.awaitResponse(reader)
		if !ok {
			return
		}
		response, err := c.client.readResponse(reader)
		reply := toReply(response, err)
		reusable := err == nil && !response.Close && reader.Buffered() == 0 // further bytes belong to no request
		closed := c.endExchange(reusable)
		attempt.finish(reply)
		if closed {
			return
		}
	}
}

// awaitResponse waits for the first byte of a response and returns the attempt that it belongs to. It closes the
// connection and returns false if the node closes the connection or sends bytes that no attempt waits for.
func (c *conn) awaitResponse(reader *bufio.Reader) (attempt *Attempt, ok bool) {
	client := c.client
	_, err := reader.Peek(1)
	client.mu.Lock()
	if err == nil && c.state == stateWriting { // the response can arrive before the writer's Write has returned
		written := c.written
		client.mu.Unlock()
		<-written
		client.mu.Lock()
	}
	attempt, state := c.attempt, c.state
	if err == nil && state == stateWaiting {
		client.mu.Unlock()
		return attempt, true
	}
	c.close()
	client.mu.Unlock()
	if state == stateWaiting { // in other states no attempt waits, or its writer finds the connection closed
		attempt.fail(node.ConnectionReset, err.Error())
	}
	return nil, false
}

// endExchange makes the connection idle after a response, or closes it if it is not reusable. It reports whether the
// connection is closed.
func (c *conn) endExchange(reusable bool) (closed bool) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	switch {
	case c.state == stateClosed:
	case !reusable:
		c.close()
	default:
		c.transition(stateIdle)
		c.client.startWaiting()
	}
	return c.state == stateClosed
}

// toReply converts a response, or the error from reading it, into the reply to the attempt.
func toReply(response *http1.Response, err error) node.Reply {
	if err != nil {
		var malformed *http1.Error
		if errors.As(err, &malformed) {
			return node.Reply{Outcome: node.Failed, Message: "malformed response: " + err.Error()}
		}
		return node.Reply{Outcome: node.ConnectionReset, Message: err.Error()}
	}
	notRun, _ := response.Fields.Get(fieldNotRun)
	reply := node.Reply{Outcome: node.Failed, Message: fmt.Sprintf("status %d", response.Status)}
	switch {
	case response.Status == http.StatusOK:
		reply = node.Reply{Outcome: node.Executed, Data: response.Body}
	case response.Status == http.StatusServiceUnavailable && notRun == "1":
		reply.Outcome = node.QueueFull
	case response.Status == http.StatusGatewayTimeout && notRun == "1":
		reply.Outcome = node.WrongShard
	}
	if text, ok := response.Fields.Get(fieldServedElsewhere); ok {
		units, err := strconv.ParseFloat(text, 64)
		if err == nil && units > 0 && units < maxUnitsElsewhere { // any other value is ignored
			reply.UnitsElsewhere = units
		}
	}
	return reply
}
