// Command second holds the stand-ins and clients of the second review's cases. Each script review/N/run.sh starts it
// with the name of its case. It starts the project's own programs as separate processes, plays the case on the real
// clock, writes record.txt into the case's folder, and ends every process that it started.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment the case leaves out its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxDuration is the longest time that a case may take, with a margin below the 120 seconds of the review.
const maxDuration = 110 * time.Second

// play is the state of a running case.
type play struct {
	trouble bool   // the disruption is to happen
	root    string // of the repository
	dir     string // temporary folder
	start   time.Time

	lock    sync.Mutex
	lines   []string // of record.txt
	broken  []string // how the rule was broken
	closers []func()
}

// cases are the cases by name.
var cases = map[string]func(*play) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(playCase func(*play) error, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		return cannotRun(err)
	}
	dir, err := os.MkdirTemp("", "irispost-review")
	if err != nil {
		return cannotRun(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p := &play{trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, start: time.Now()}
	p.note("disruption: %v", p.trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- playCase(p) }()
	select {
	case err = <-done:
	case <-interrupted:
		err = errors.New("interrupted")
	case <-time.After(maxDuration):
		err = fmt.Errorf("the case did not end within %v", maxDuration)
	}
	p.close()
	code := 0
	switch {
	case err != nil:
		p.note("RESULT: the case could not run: %v", err)
		code = 2
	case len(p.broken) > 0:
		p.note("RESULT: the rule was broken")
		code = 1
	default:
		p.note("RESULT: the rule held")
	}
	p.lock.Lock()
	text := strings.Join(p.lines, "\n") + "\n"
	p.lock.Unlock()
	if err := os.WriteFile(filepath.Join(folder, "record.txt"), []byte(text), 0o644); err != nil {
		return cannotRun(err)
	}
	fmt.Print(text)
	return code
}

func cannotRun(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}

// note adds a line to the record, with the time since the start of the case.
func (p *play) note(format string, args ...any) {
	p.lock.Lock()
	defer p.lock.Unlock()
	line := fmt.Sprintf("%9.3f  ", time.Since(p.start).Seconds()) + fmt.Sprintf(format, args...)
	p.lines = append(p.lines, line)
}

// breakRule records that the rule was broken.
func (p *play) breakRule(format string, args ...any) {
	p.note("BROKEN: "+format, args...)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
}

// atEnd registers a function that runs at the end of the case, in reverse order.
func (p *play) atEnd(closer func()) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closers = append(p.closers, closer)
}

func (p *play) close() {
	p.lock.Lock()
	closers := slices.Clone(p.closers)
	p.lock.Unlock()
	for _, closer := range slices.Backward(closers) {
		closer()
	}
}
