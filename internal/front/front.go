// Package front is the front end for files: it serves SFTP version 3 (draft-ietf-secsh-filexfer-02) to clients and
// turns their requests into requests to the gateway's event loop, each a call to one storage node. A path is
// /VOLUME/REL. The iSCSI front end (package iscsi/target) uses it for disks, each a file.
//
// Package serve starts a Front. It owns the clients' connections and handles, and the open files with what is written
// but not committed (openFile, under its lock); records and objects are kept by the storage nodes. Where they lie is
// decided by package layout, when a request goes to a node by package scheduler. A goroutine runs for each request of
// a client; requests for the same bytes of a file wait for each other (request.orderRange).
package front

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// sendTimeout is how long Drain waits until a connection has sent its last answers.
const sendTimeout = time.Second

// Front is a running front end.
type Front struct {
	options     Options
	incarnation string // of this start of the gateway, in all names that it gives
	server      *sftp.Server
	lastSession atomic.Int64
	lastName    atomic.Int64
	draining    atomic.Bool
	inFlight    requestCounter // unanswered requests and background work

	lock      sync.Mutex // guards openFiles and their references
	openFiles map[layout.Path]*openFile
}

// Start listens for SFTP clients at an address.
func Start(addr string, options Options) (*Front, error) {
	front := &Front{
		options:     options,
		incarnation: strconv.FormatInt(options.Loop.Now(), 36),
		openFiles:   map[layout.Path]*openFile{},
	}
	limits := options.Limits
	server, err := sftp.Listen(addr, limits.Wire, limits.Connections, func(conn *sftp.Conn) sftp.Handler {
		return newSession(front, conn)
	})
	if err != nil {
		return nil, err
	}
	front.server = server
	return front, nil
}

// Addr returns the address that clients connect to.
func (f *Front) Addr() string { return f.server.Addr() }

// Drain rejects new requests and waits until all earlier ones have their answers, or the context ends.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	select {
	case <-f.inFlight.idle():
		for _, conn := range f.server.Conns() {
			conn.WaitSent(sendTimeout)
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all connections of SFTP clients.
func (f *Front) Close() { f.server.Close() }

// uniqueName returns a new name of a change or an object, unique in the installation.
func (f *Front) uniqueName() string {
	return f.options.Name + "-" + f.incarnation + "-" + strconv.FormatInt(f.lastName.Add(1), 36)
}

// newSessionName returns a new name of a session, unique in the installation.
func (f *Front) newSessionName() string {
	return f.options.Name + "/" + f.incarnation + "/" + strconv.FormatInt(f.lastSession.Add(1), 10)
}

// findVolume returns the volume of a path.
func (f *Front) findVolume(path layout.Path) (*Volume, *failure) {
	if volume := f.options.Volumes[path.Volume]; volume != nil {
		return volume, nil
	}
	return nil, failuref(sftp.NoSuchFile, "there is no volume %q", path.Volume)
}

// parsePath parses a path as a client sends it.
func parsePath(text string) (layout.Path, *failure) {
	path, err := layout.Parse(text)
	if err != nil {
		return path, failuref(sftp.Denied, "%v", err)
	}
	return path, nil
}
