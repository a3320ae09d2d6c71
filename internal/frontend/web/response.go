package web

import (
	"fmt"
	"net/http"
	"time"

	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/scheduler"
)

// healthPath is the path of the platform's health checks.
const healthPath = "/healthz"

// Response bodies. Clients may parse them.
var (
	healthyBody  = []byte("ok\n")
	rejectedBody = []byte("dismissed: trying again is harmless\n")
	failedBody   = []byte("written off: it may have been done or not\n")
)

// resultResponse returns the response for the result of a request. If last is set, it tells the client that the
// connection closes after it.
func resultResponse(result gateway.Result, last bool) []byte {
	var response *http1.MessageBuilder
	body := result.Reply.Data
	switch result.State {
	case scheduler.RequestSucceeded:
		response = http1.NewResponse(http.StatusOK)
	case scheduler.RequestRejected:
		response, body = http1.NewResponse(http.StatusServiceUnavailable), rejectedBody
		if result.RetryAfter > 0 {
			response.Field("Retry-After", retryAfter(result.RetryAfter))
		}
	default:
		response, body = http1.NewResponse(http.StatusBadGateway), failedBody
	}
	if last {
		response.Field("Connection", "close")
	}
	return response.Body(body, true)
}

// retryAfter formats a duration as seconds, rounded up to a millisecond.
func retryAfter(wait time.Duration) string {
	millis := (wait + time.Millisecond - 1) / time.Millisecond
	return fmt.Sprintf("%d.%03d", millis/1000, millis%1000)
}

// rejectionResponse returns the response to a request or connection that the front end rejects. The connection is
// closed after it.
func rejectionResponse(status int, reason string) []byte {
	return http1.NewResponse(status).Field("Connection", "close").Body([]byte(reason+"\n"), true)
}

// handleHealth responds to a health check. The gateway is healthy until its shutdown begins.
func (c *conn) handleHealth(request *http1.Request) (disconnected bool, err error) {
	if request.Method != http.MethodGet || request.Framing.Bytes > 0 || request.Framing.Chunked {
		return false, &http1.Error{Status: http.StatusMethodNotAllowed, Reason: "GET alone"}
	}
	c.server.mu.Lock()
	draining := c.server.phase >= phaseDraining
	c.server.mu.Unlock()
	if draining {
		return false, &http1.Error{Status: http.StatusServiceUnavailable, Reason: "the gateway ends"}
	}
	response := http1.NewResponse(http.StatusOK)
	if request.Close {
		response.Field("Connection", "close")
	}
	return c.respond(response.Body(healthyBody, true), request.Close)
}
