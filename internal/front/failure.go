package front

import (
	"fmt"
	"time"

	"irispost/internal/sftp"
)

// failure describes why a request failed. For callers outside the package it is an error.
type failure struct {
	code       sftp.Code
	message    string
	clientGone bool          // the client has closed its connection and gets no response
	rejected   bool          // it can be retried safely
	retryAfter time.Duration // of a rejection; 0: unknown
	mayHaveRun bool          // of a rejection: the request may have been executed and is idempotent
}

// Error returns the status code's name and the message.
func (f *failure) Error() string { return f.code.String() + ": " + f.message }

func failuref(code sftp.Code, format string, args ...any) *failure {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

// rejection returns the failure of a request that a client can retry safely. Clients parse its message.
func rejection(retryAfter time.Duration, reason string) *failure {
	message := "dismissed: trying again is harmless"
	if retryAfter > 0 {
		message += ", come back in " + retryAfter.Round(time.Millisecond).String()
	}
	if reason != "" {
		message += "; " + reason
	}
	return &failure{code: sftp.Failure, message: message, rejected: true, retryAfter: retryAfter}
}

// unknownOutcome returns the failure of a request that may have been executed. Clients parse its message.
func unknownOutcome(reason string) *failure {
	message := "written off: it may have been done in part or not at all"
	if reason != "" {
		message += "; " + reason
	}
	return &failure{code: sftp.Failure, message: message}
}
