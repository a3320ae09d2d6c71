package front

import (
	"fmt"
	"time"

	"irispost/internal/sftp"
)

// failure is why a request is not answered with what it asked for. It is an error for callers outside the package.
type failure struct {
	code       sftp.Code
	message    string
	clientGone bool          // the client has closed the connection: there is nobody to answer
	rejected   bool          // a retry is harmless
	retryAfter time.Duration // of a rejection; 0: not known
	mayHaveRun bool          // of a rejection: it may have run, and is idempotent
}

// Error returns the status code's name and the message.
func (f *failure) Error() string { return f.code.String() + ": " + f.message }

func failuref(code sftp.Code, format string, args ...any) *failure {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

// rejection is the failure of a request that a client may retry without harm. Clients parse its message.
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

// unknownOutcome is the failure of a request that may have been done. Clients parse its message.
func unknownOutcome(reason string) *failure {
	message := "written off: it may have been done in part or not at all"
	if reason != "" {
		message += "; " + reason
	}
	return &failure{code: sftp.Failure, message: message}
}
