// Package front is the front end for files. It serves SFTP version 3 (draft-ietf-secsh-filexfer-02) and translates
// each client request into requests to the gateway's event loop, each of which is a call to one storage node. Paths
// have the form /VOLUME/REL. The iSCSI front end (package iscsi/target) uses this package for its disks, each of
// which is a file.
//
// Package serve starts a Front. The Front owns the client connections, their handles, and the open files with their
// uncommitted writes (openFile, under its lock). Storage nodes hold records and objects: package layout decides on
// which shard a record is stored, and package scheduler when a request is sent to a node and which shard gets a new
// object. Each client request runs on its own goroutine; requests for the same bytes of a file wait for each other
// (request.orderRange).
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

// sendTimeout is how long Drain waits for each connection to send its last responses.
const sendTimeout = time.Second

// Front is a running front end.
type Front struct {
	options     Options
	incarnation string // identifies this run of the gateway; part of all names that it generates
	server      *sftp.Server
	lastSession atomic.Int64
	lastName    atomic.Int64
	draining    atomic.Bool
	inFlight    requestCounter // unanswered requests and background tasks

	lock      sync.Mutex // guards openFiles and their reference counts
	openFiles map[layout.Path]*openFile
}

// Start starts a front end that listens for SFTP clients at an address.
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

// Drain rejects new requests and waits until all earlier ones are answered or the context is done.
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

// uniqueName returns a new name for a change or an object, unique in the installation.
func (f *Front) uniqueName() string {
	return f.options.Name + "-" + f.incarnation + "-" + strconv.FormatInt(f.lastName.Add(1), 36)
}

// newSessionName returns a new name for a session, unique in the installation.
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

// parsePath parses a path that a client sent.
func parsePath(text string) (layout.Path, *failure) {
	path, err := layout.Parse(text)
	if err != nil {
		return path, failuref(sftp.Denied, "%v", err)
	}
	return path, nil
}
