package http1

// Status codes (RFC 9110, 15).
const (
	statusContinue            = 100
	statusSwitchingProtocols  = 101
	statusOK                  = 200
	statusNoContent           = 204
	statusNotModified         = 304
	statusBadRequest          = 400
	statusContentTooLarge     = 413
	statusURITooLong          = 414
	statusExpectationFailed   = 417
	statusFieldsTooLarge      = 431
	statusNotImplemented      = 501
	statusBadGateway          = 502
	statusServiceUnavailable  = 503
	statusGatewayTimeout      = 504
	statusVersionNotSupported = 505
)
