package webstandin

import (
	"strings"

	"irispost/internal/backend/node"
)

// afterResponse is what a node does with a connection after a response.
type afterResponse int

const (
	keepOpen     afterResponse = iota // it goes on with the next request
	stopReplying                      // it reads on and never responds again
	closeConn
	resetConn
)

// Behavior is what a test node does with a request.
type Behavior struct {
	response string // lengthPlaceholder and bodyPlaceholder are replaced
	then     afterResponse
	Outcome  node.Outcome // that the attempt has at a client
}

// Placeholders in responses: the body is the request's ID and body.
const (
	lengthPlaceholder = "LEN"
	bodyPlaceholder   = "BODY"
)

// success is a complete response with more header fields.
func success(fields string) string {
	return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + lengthPlaceholder + "\r\n\r\n" + bodyPlaceholder
}

// empty is a response without a body.
func empty(status, fields string) string {
	return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 0\r\n\r\n"
}

const (
	informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
	loadReport    = "X-Served-Elsewhere: 3\r\nX-Load: inflight=7,latency_ms=2\r\n"
	badLoadReport = "X-Served-Elsewhere: many\r\nX-Load: ???\r\nX-Volume-Use: NaN\r\n"
	notRun        = "X-Not-Run: 1\r\n"
	untilClose    = "HTTP/1.1 200 OK\r\n\r\n" + bodyPlaceholder
	longLength    = 200_000
)

// waitingBehavior is the behavior that waits for Node.Release before it responds.
const waitingBehavior = "held"

// Behaviors are what a test node does with a request, by the first part of its ID, up to a hyphen.
var Behaviors = map[string]Behavior{
	"served":        {success(""), keepOpen, node.Executed},
	waitingBehavior: {success(""), keepOpen, node.Executed},
	"close":         {success("Connection: close\r\n"), closeConn, node.Executed},
	"elsewhere":     {success(loadReport), keepOpen, node.Executed},
	"oddreport":     {success(badLoadReport), keepOpen, node.Executed},
	"hints":         {informational + success(""), keepOpen, node.Executed},
	"twice":         {success("") + success(""), keepOpen, node.Executed},
	"error":         {empty("500 Oh", ""), keepOpen, node.Failed},
	"full":          {empty("503 Full", notRun), keepOpen, node.QueueFull},
	"over":          {empty("504 Over", notRun), keepOpen, node.WrongShard},
	"busy":          {empty("503 Busy", ""), keepOpen, node.Failed},
	"reset":         {"", closeConn, node.ConnectionReset},
	"half":          {"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nabc", closeConn, node.ConnectionReset},
	"noise":         {"\x00\x01\x02\x03\r\n\r\n", stopReplying, node.Failed},
	"huge":          {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx", stopReplying, node.Failed},
	"open":          {untilClose, closeConn, node.Executed},
	"opencut":       {untilClose, resetConn, node.ConnectionReset},
	"halfline":      {"HTTP/1.1 200 O", resetConn, node.ConnectionReset},
	"halfhead":      {"HTTP/1.1 200 OK\r\nContent-Le", closeConn, node.ConnectionReset},
	"long": {
		"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("l", longLength),
		keepOpen, node.Executed,
	},
}
