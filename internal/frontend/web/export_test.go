package web

import (
	"net"
	"time"
)

// Says tells whether bytes wait.
var Says = says

// Spared has a front that holds these connections, the first idle for longest, end one for room: its place, -1 for none.
func Spared(raws ...net.Conn) int {
	f := &Server{conns: map[*conn]bool{}, none: make(chan struct{})}
	now := time.Now()
	var all []*conn
	for i, raw := range raws {
		c := &conn{front: f, raw: raw, state: idle, since: now.Add(time.Duration(i-len(raws)) * time.Second)}
		all = append(all, c)
		f.conns[c] = true
	}
	f.spare(now, 0)
	for i, c := range all {
		if c.state == dismissed {
			return i
		}
	}
	return -1
}

// StartOn starts a front on a listener.
var StartOn = startOn

// Dismissed tells how many connections are to go, and how many linger.
func Dismissed(f *Server) (dismissed, lingering int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.dismissed, len(f.lingers)
}

// Lingering is how many may linger.
func Lingering(l Limits) int { return l.lingering() }

// Idle tells how many connections are idle.
func Idle(f *Server) (n int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for c := range f.conns {
		if c.state == idle {
			n++
		}
	}
	return n
}

// Reading tells whether a request is coming in.
func Reading(f *Server) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	for c := range f.conns {
		if c.state == reading {
			return true
		}
	}
	return false
}

// Answer is the message of a job's result.
var Answer = answer
