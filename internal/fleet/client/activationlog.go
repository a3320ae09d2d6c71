package client

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// activationLog records from when which versions were in effect, one line a change, for the audit of test
// fleets: the time on the host's monotonic clock in nanoseconds, whether only the fallback was in effect, and
// the versions' numbers.
type activationLog struct {
	file *os.File
}

// openActivationLog opens a record to append to; without a name there is none, and nil is returned.
func openActivationLog(name string) (*activationLog, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("activation record: %w", err)
	}
	return &activationLog{file: file}, nil
}

// write records a change that was noticed at a time on the gateway's clock. Where what was in effect before had
// ended already, nothing was decided since, and the change counts from that end.
func (l *activationLog) write(now int64, change effectiveChange) {
	if l == nil {
		return
	}
	var monotonic unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) // cannot fail for this clock
	ended := int64(0)
	if change.previousUntil > 0 && now >= change.previousUntil {
		ended = now - change.previousUntil
	}
	versions := change.versions
	if change.config == nil {
		versions = nil
	}
	// A record that cannot be written must not stop the gateway; the audit notices that lines are missing.
	_, _ = fmt.Fprintf(l.file, "%d %v %v\n", monotonic.Nano()-ended, change.fallback, versions)
}

// close closes the record. All lines were written before, unbuffered.
func (l *activationLog) close() {
	if l != nil {
		_ = l.file.Close()
	}
}
