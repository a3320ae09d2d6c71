package meter

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is what a process has used.
type Usage struct {
	CPU time.Duration // processor time so far, in user and kernel mode, in whole hundredths of a second
	MB  float64       // memory that is resident now, in millions of bytes
}

const (
	// clockTick is the unit of times in /proc/PID/stat: USER_HZ is 100 on all of Linux's architectures that matter
	// here.
	clockTick = 10 * time.Millisecond

	// Indexes of fields of /proc/PID/stat after the program's name.
	userTimeField   = 11
	systemTimeField = 12

	// residentField is the index of the resident pages in /proc/PID/statm.
	residentField = 1

	bytesPerMB = 1e6
)

// ErrTooFewFields is returned for a file of /proc that lacks the fields that are read.
var ErrTooFewFields = errors.New("too few fields")

// Process returns what a process has used, by its ID.
func Process(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	cpu, err := parseStat(string(stat))
	if err != nil {
		return Usage{}, fmt.Errorf("/proc/%d/stat: %w", pid, err)
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Usage{}, err
	}
	pages, err := parseStatm(string(statm))
	if err != nil {
		return Usage{}, fmt.Errorf("/proc/%d/statm: %w", pid, err)
	}
	return Usage{CPU: cpu, MB: float64(pages) * float64(os.Getpagesize()) / bytesPerMB}, nil
}

// parseStat returns the user and system time. The program's name, in parentheses, may contain anything.
func parseStat(text string) (time.Duration, error) {
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= systemTimeField {
		return 0, fmt.Errorf("%w: %d after the name", ErrTooFewFields, len(fields))
	}
	user, err := strconv.ParseInt(fields[userTimeField], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[systemTimeField], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// parseStatm returns the number of resident pages.
func parseStatm(text string) (int64, error) {
	fields := strings.Fields(text)
	if len(fields) <= residentField {
		return 0, fmt.Errorf("%w: %d", ErrTooFewFields, len(fields))
	}
	return strconv.ParseInt(fields[residentField], 10, 64)
}

// Folder returns the bytes of all files in a folder and below. A file that is removed meanwhile counts as none.
func Folder(dir string) (total int64, err error) {
	err = filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		var size int64
		if err == nil && entry.Type().IsRegular() {
			size, err = fileSize(entry)
		}
		if errors.Is(err, fs.ErrNotExist) && path != dir {
			return nil
		}
		total += size
		return err
	})
	return total, err
}

func fileSize(entry fs.DirEntry) (int64, error) {
	info, err := entry.Info()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// SelfCPU returns this process's processor time so far, to the microsecond.
func SelfCPU() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
