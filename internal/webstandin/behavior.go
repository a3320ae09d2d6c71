package webstandin

import (
	"strings"

	"irispost/internal/backend/node"
)

// connAction is what a node does with the connection after a response.
type connAction int

const (
	keepOpen     connAction = iota // continue with the next request
	stopReplying                   // discard all further input and send nothing more
	closeConn
	resetConn
)

// Behavior describes how a node handles a request.
type Behavior struct {
	response string // raw response; lengthPlaceholder and bodyPlaceholder are replaced
	action   connAction
	Outcome  node.Outcome // outcome of the attempt that a client must report
}

// Placeholders in responses. The response body is the request's ID followed by the request body.
const (
	lengthPlaceholder = "LEN"
	bodyPlaceholder   = "BODY"
)

// successResponse returns a complete response with the given additional header fields.
func successResponse(fields string) string {
	return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + lengthPlaceholder + "\r\n\r\n" + bodyPlaceholder
}

// emptyResponse returns a response without a body.
func emptyResponse(status, fields string) string {
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

// waitingBehavior is the name of the behavior that waits for Node.Release before it responds.
const waitingBehavior = "held"

// Behaviors maps the prefix of a request ID, up to the first hyphen, to the behavior of the node.
var Behaviors = map[string]Behavior{
	"served":        {successResponse(""), keepOpen, node.Executed},
	waitingBehavior: {successResponse(""), keepOpen, node.Executed},
	"close":         {successResponse("Connection: close\r\n"), closeConn, node.Executed},
	"elsewhere":     {successResponse(loadReport), keepOpen, node.Executed},
	"oddreport":     {successResponse(badLoadReport), keepOpen, node.Executed},
	"hints":         {informational + successResponse(""), keepOpen, node.Executed},
	"twice":         {successResponse("") + successResponse(""), keepOpen, node.Executed},
	"error":         {emptyResponse("500 Oh", ""), keepOpen, node.Failed},
	"full":          {emptyResponse("503 Full", notRun), keepOpen, node.QueueFull},
	"over":          {emptyResponse("504 Over", notRun), keepOpen, node.WrongShard},
	"busy":          {emptyResponse("503 Busy", ""), keepOpen, node.Failed},
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
