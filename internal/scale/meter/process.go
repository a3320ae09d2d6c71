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

// Usage is what a process has used: time of the processor so far, its own and the kernel's for it, in whole hundredths of a second,
// and memory that is resident now, in MB (millions of bytes).
type Usage struct {
	CPU time.Duration
	MB  float64
}

// tick is the unit of /proc/PID/stat: the kernel tells all programs 100 a second, whatever its own is.
const tick = 10 * time.Millisecond

// Process is what a process has used, by its id.
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
	return Usage{CPU: cpu, MB: float64(pages) * float64(os.Getpagesize()) / 1e6}, nil
}

// parseStat reads user and system time. The program's name, in brackets, may hold anything.
func parseStat(text string) (time.Duration, error) {
	f := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(f) < 13 {
		return 0, fmt.Errorf("%d fields after the name, at least 13 are told", len(f))
	}
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * tick, err
}

// parseStatm reads the resident pages.
func parseStatm(text string) (int64, error) {
	f := strings.Fields(text)
	if len(f) < 2 {
		return 0, fmt.Errorf("%d fields, at least 2 are told", len(f))
	}
	return strconv.ParseInt(f[1], 10, 64)
}

// Folder is the bytes of all files in a folder and below. A file that goes meanwhile counts as none.
func Folder(dir string) (total int64, err error) {
	err = filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err == nil && d.Type().IsRegular() {
			var info fs.FileInfo
			if info, err = d.Info(); err == nil {
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

// Self is this process's time of the processor so far, to the microsecond.
func Self() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
