package client

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// activationLog is a file that records when which versions came into effect, for the audit of test fleets. Each
// change is one line: the time on the host's monotonic clock in nanoseconds, whether only the fallback is in
// effect, and the numbers of the versions.
type activationLog struct {
	file *os.File
}

// openActivationLog opens a log for appending. It returns nil if name is empty.
func openActivationLog(name string) (*activationLog, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open activation record: %w", err)
	}
	return &activationLog{file: file}, nil
}

// write appends a change that was noticed at now on the gateway's clock. If the previous configuration had
// expired before, the gateway has decided nothing since, and the change is recorded as of the expiry.
func (l *activationLog) write(now int64, change effectiveChange) {
	if l == nil {
		return
	}
	var monotonic unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) // does not fail for this clock
	ended := int64(0)
	if change.previousUntil > 0 && now >= change.previousUntil {
		ended = now - change.previousUntil
	}
	versions := change.versions
	if change.config == nil {
		versions = nil
	}
	// A failed write must not stop the gateway; the audit detects missing lines.
	_, _ = fmt.Fprintf(l.file, "%d %v %v\n", monotonic.Nano()-ended, change.fallback, versions)
}

// close closes the file. Writes are unbuffered, so there is nothing to flush.
func (l *activationLog) close() {
	if l != nil {
		_ = l.file.Close()
	}
}
