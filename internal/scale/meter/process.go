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

// Usage is the resource usage of a process: its user and system CPU time so far, with a resolution of 10 ms, and its
// current resident memory in MB (millions of bytes).
type Usage struct {
	CPU time.Duration
	MB  float64
}

// clockTick is the unit of time in /proc/PID/stat. The kernel reports 100 ticks per second to user space, whatever its
// internal tick rate is.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted from the field after the program's name, and in /proc/PID/statm.
const (
	statUserTime   = 11
	statSystemTime = 12
	statmResident  = 1
)

// errFewFields is returned for a file under /proc with fewer fields than the kernel documents.
var errFewFields = errors.New("too few fields")

// ProcessUsage returns the usage of the process with the given ID.
func ProcessUsage(pid int) (Usage, error) {
	cpu, err := readProc(pid, "stat", parseStat)
	if err != nil {
		return Usage{}, err
	}
	pages, err := readProc(pid, "statm", parseStatm)
	if err != nil {
		return Usage{}, err
	}
	return Usage{CPU: cpu, MB: float64(pages) * float64(os.Getpagesize()) / 1e6}, nil
}

// readProc reads and parses the named file of a process in /proc.
func readProc[T any](pid int, name string, parse func(text string) (T, error)) (value T, err error) {
	file := fmt.Sprintf("/proc/%d/%s", pid, name)
	text, err := os.ReadFile(file)
	if err != nil {
		return value, err
	}
	value, err = parse(string(text))
	if err != nil {
		return value, fmt.Errorf("%s: %w", file, err)
	}
	return value, nil
}

// parseStat returns the sum of user and system time. The program's name, in parentheses, may contain any characters,
// also parentheses and spaces.
func parseStat(text string) (time.Duration, error) {
	afterName := text[strings.LastIndexByte(text, ')')+1:]
	fields := strings.Fields(afterName)
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("%w after the program's name: %d", errFewFields, len(fields))
	}
	user, err := strconv.ParseInt(fields[statUserTime], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[statSystemTime], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// parseStatm returns the number of resident pages.
func parseStatm(text string) (int64, error) {
	fields := strings.Fields(text)
	if len(fields) <= statmResident {
		return 0, fmt.Errorf("%w: %d", errFewFields, len(fields))
	}
	return strconv.ParseInt(fields[statmResident], 10, 64)
}

// SelfCPU returns the CPU time of this process so far, with a resolution of microseconds.
func SelfCPU() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// DirSize returns the total size of the regular files in a directory tree. Files that are removed during the walk are
// skipped.
func DirSize(dir string) (total int64, err error) {
	err = filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.Type().IsRegular() {
			var info fs.FileInfo
			if info, err = entry.Info(); err == nil {
				total += info.Size()
			}
		}
		if errors.Is(err, fs.ErrNotExist) && path != dir {
			return nil
		}
		return err
	})
	return total, err
}
