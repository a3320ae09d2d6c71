package initiator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"irispost/internal/iscsi/negotiate"
	"irispost/internal/scsi"
)

// verdict says whether a command is retried after an answer.
type retryDecision uint8

const (
	neverRetry        retryDecision = iota
	alwaysRetry                     // it never ran
	retryIfRepeatable               // it may have run
)

// command has a command executed until its answer is final or its time is up. repeatable: to repeat it is harmless,
// whatever became of it.
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

// execute sends a command on the current session, or a new one. sent tells whether it may have reached the target.
func (d *Disk) execute(ctx context.Context, cdb, out []byte, in int) (reply Reply, sent bool, err error) {
	session, err := d.session(ctx)
	if err != nil {
		return Reply{}, false, err
	}
	reply, err = session.Do(ctx, d.lun, cdb, out, in)
	return reply, true, err
}

// isOwnFault tells whether a login was rejected for a fault of the initiator's: it would be rejected again.
func isInitiatorError(err error) bool {
	var rejection *negotiate.Rejection
	return errors.As(err, &rejection) && rejection.Class == negotiate.ClassInitiatorError
}

// judge returns what an answer means: no error where the command succeeded.
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
