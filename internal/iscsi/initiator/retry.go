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
type verdict uint8

const (
	verdictFinal             verdict = iota
	verdictRetry                     // it never ran
	verdictRetryIfRepeatable         // it may have run
)

// command has a command executed until its answer is final or its time is up. repeatable: to repeat it is harmless,
// whatever became of it.
func (d *Disk) command(ctx context.Context, cdb, out []byte, in int, repeatable bool) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, d.retry.Timeout)
	defer cancel()
	for backoff := d.retry.MinBackoff; ; backoff = min(2*backoff, d.retry.MaxBackoff) {
		reply, sent, err := d.execute(ctx, cdb, out, in)
		switch {
		case isOwnFault(err):
			return reply, err
		case err != nil && sent && !repeatable:
			return reply, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		case err == nil:
			var verdict verdict
			verdict, err = judge(reply)
			if verdict == verdictFinal || verdict == verdictRetryIfRepeatable && !repeatable {
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
func isOwnFault(err error) bool {
	var rejection *negotiate.Rejection
	return errors.As(err, &rejection) && rejection.Class == negotiate.ClassInitiatorError
}

// judge returns what an answer means: no error where the command succeeded.
func judge(reply Reply) (verdict, error) {
	switch reply.Status {
	case scsi.Good:
		return verdictFinal, nil
	case scsi.Busy, scsi.TaskSetFull:
		return verdictRetry, ErrBusy
	}
	sense := reply.Sense
	switch {
	case sense == nil:
		return verdictRetryIfRepeatable, fmt.Errorf("%w: status %#02x", ErrOutcomeUnknown, byte(reply.Status))
	case sense.Key == scsi.Miscompare.Key:
		return verdictFinal, ErrMiscompare
	case sense.Key == scsi.LBAOutOfRange.Key && sense.Code == scsi.LBAOutOfRange.Code:
		return verdictFinal, ErrOutOfRange
	case sense.Key == scsi.BecomingReady.Key && sense.Qualifier == scsi.BecomingReady.Qualifier:
		return verdictRetry, sense
	case sense.Key == scsi.CommandTimeout.Key:
		return verdictRetryIfRepeatable, fmt.Errorf("%w: %w", ErrOutcomeUnknown, sense)
	}
	return verdictFinal, sense
}
