package initiator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"irispost/internal/iscsi/negotiate"
	"irispost/internal/scsi"
)

// retryDecision says whether a command is retried after a reply.
type retryDecision uint8

const (
	neverRetry        retryDecision = iota
	alwaysRetry                     // the command was not executed
	retryIfRepeatable               // the command may have been executed
)

// command executes a command, with retries, until its reply is final or the timeout has passed. repeatable says that
// the command may be executed again even if it was executed before.
func (d *Disk) command(ctx context.Context, cdb, out []byte, in int, repeatable bool) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, d.retry.Timeout)
	defer cancel()
	for backoff := d.retry.MinBackoff; ; backoff = min(2*backoff, d.retry.MaxBackoff) {
		reply, sent, err := d.execute(ctx, cdb, out, in)
		switch {
		case isInitiatorError(err):
			return reply, err
		case err != nil && sent && !repeatable:
			return reply, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		case err == nil:
			var decision retryDecision
			decision, err = classifyReply(reply)
			if decision == neverRetry || decision == retryIfRepeatable && !repeatable {
				return reply, err
			}
		}
		select {
		case <-ctx.Done():
			return reply, errors.Join(err, ctx.Err())
		case <-time.After(backoff):
		}
	}
}

// execute executes a command once, on the current session or a new one. sent reports whether the command may have
// reached the target.
func (d *Disk) execute(ctx context.Context, cdb, out []byte, in int) (reply Reply, sent bool, err error) {
	session, err := d.session(ctx)
	if err != nil {
		return Reply{}, false, err
	}
	reply, err = session.Do(ctx, d.lun, cdb, out, in)
	return reply, true, err
}

// isInitiatorError reports whether a login was rejected because of an error of the initiator. A retry would be
// rejected too.
func isInitiatorError(err error) bool {
	var rejection *negotiate.Rejection
	return errors.As(err, &rejection) && rejection.Class == negotiate.ClassInitiatorError
}

// classifyReply returns whether to retry a command after a reply, and its error, or nil if it succeeded.
func classifyReply(reply Reply) (retryDecision, error) {
	switch reply.Status {
	case scsi.Good:
		return neverRetry, nil
	case scsi.Busy, scsi.TaskSetFull:
		return alwaysRetry, ErrBusy
	}
	sense := reply.Sense
	switch {
	case sense == nil:
		return retryIfRepeatable, fmt.Errorf("%w: status %#02x", ErrOutcomeUnknown, byte(reply.Status))
	case sense.Key == scsi.Miscompare.Key:
		return neverRetry, ErrMiscompare
	case sense.Key == scsi.LBAOutOfRange.Key && sense.Code == scsi.LBAOutOfRange.Code:
		return neverRetry, ErrOutOfRange
	case sense.Key == scsi.BecomingReady.Key && sense.Qualifier == scsi.BecomingReady.Qualifier:
		return alwaysRetry, sense
	case sense.Key == scsi.CommandTimeout.Key:
		return retryIfRepeatable, fmt.Errorf("%w: %w", ErrOutcomeUnknown, sense)
	}
	return neverRetry, sense
}
