package web

import (
	"net"
	"time"
)

// Says tells whether bytes wait.
var Says = says

// Spared has a front that holds these connections, the first idle for longest, end one for room: its place, -1 for none.
func Spared(raws ...net.Conn) int {
	f := &Front{conns: map[*conn]bool{}, none: make(chan struct{})}
	now := time.Now()
	var all []*conn
	for i, raw := range raws {
		c := &conn{front: f, raw: raw, state: idle, since: now.Add(time.Duration(i-len(raws)) * time.Second)}
		all = append(all, c)
		f.conns[c] = true
	}
	f.spare(now, 0)
	for i, c := range all {
		if c.state == ended {
			return i
		}
	}
	return -1
}
