package audit

import (
	"strconv"
	"strings"
)

// parseRequestID splits a request ID: GATEWAY/BOOT/CONNECTION:REQUEST#NUMBER for a client's request, or GATEWAY#NUMBER
// for a request that the gateway made itself, whose clientRequest is 0. number counts the requests that a gateway has
// accepted.
func parseRequestID(requestID string) (session string, clientRequest uint32, number int) {
	origin, numberText, _ := strings.Cut(requestID, "#")
	number, _ = strconv.Atoi(numberText)
	session, requestText, _ := strings.Cut(origin, ":")
	parsed, _ := strconv.ParseUint(requestText, 10, 32)
	return session, uint32(parsed), number
}

// gatewayOf returns the gateway of a client's session.
func gatewayOf(session string) string {
	gateway, _, _ := strings.Cut(session, "/")
	return gateway
}
