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

// Usage is what a process has used: processor time so far, of its own and of the kernel for it, in whole hundredths of
// a second, and the memory that is resident now, in MB (millions of bytes).
type Usage struct {
	CPU time.Duration
	MB  float64
}

// clockTick is the unit of time in /proc/PID/stat: the kernel tells all programs 100 a second, whatever its own is.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat, counted after the program's name, and of /proc/PID/statm.
const (
	statUserTime   = 11
	statSystemTime = 12
	statmResident  = 1
)

// errFewFields is of a file under /proc that has fewer fields than the kernel documents.
var errFewFields = errors.New("too few fields")

// ProcessUsage is what a process has used, by its ID.
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

// readProc reads and parses a file of a process under /proc.
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

// parseStat parses the user and system time. The program's name, in brackets, may contain anything.
func parseStat(text string) (time.Duration, error) {
	afterName := text[strings.LastIndexByte(text, ')')+1:]
	fields := strings.Fields(afterName)
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("%w after the name: %d", errFewFields, len(fields))
	}
	user, err := strconv.ParseInt(fields[statUserTime], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[statSystemTime], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// parseStatm parses the number of resident pages.
func parseStatm(text string) (int64, error) {
	fields := strings.Fields(text)
	if len(fields) <= statmResident {
		return 0, fmt.Errorf("%w: %d", errFewFields, len(fields))
	}
	return strconv.ParseInt(fields[statmResident], 10, 64)
}

// SelfCPU is the processor time of this process so far, to the microsecond.
func SelfCPU() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// DirSize is the number of bytes of all files in a folder and below. A file that is removed meanwhile counts as none.
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
