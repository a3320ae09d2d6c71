package front

import (
	"cmp"
	"slices"
	"strconv"

	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// openHandle is a session's handle of a file or directory.
type openHandle struct {
	name    string
	path    layout.Path
	file    *openFile  // nil for a directory
	flags   uint32     // sftp.FlagRead and so on
	entries []dirEntry // of a directory: the entries that are still to be sent
	listed  bool       // the entries have been read
}

// open opens a file and responds with a new handle for it.
func (s *session) open(req *request, volume *Volume, path layout.Path, flags uint32, attrs sftp.Attrs) (
	*sftp.Packet, *failure) {
	if volume == nil {
		return nil, failuref(sftp.Failure, "/ is a folder")
	}
	file, err := req.openFile(volume, path, flags, attrs)
	if err != nil {
		return nil, err
	}
	answer, err := s.addHandle(req, &openHandle{path: path, file: file, flags: flags})
	if err != nil {
		file.release()
	}
	return answer, err
}

// close commits what was written through any handle of the file, if this handle is open for writing, and releases the
// file.
func (s *session) close(req *request, handle *openHandle) *failure {
	if handle.file == nil {
		return nil
	}
	defer handle.file.release()
	if handle.flags&sftp.FlagWrite == 0 {
		return nil
	}
	return req.commit(handle.file)
}

// takeFileHandles removes all handles and returns those of files, sorted by the length of their names. Names are
// ascending numbers, so a shorter name is older; names of the same length are in no particular order.
func (s *session) takeFileHandles() []*openHandle {
	s.lock.Lock()
	defer s.lock.Unlock()
	var files []*openHandle
	for _, handle := range s.handles {
		if handle.file != nil {
			files = append(files, handle)
		}
	}
	s.handles = map[string]*openHandle{}
	slices.SortFunc(files, func(a, b *openHandle) int { return cmp.Compare(len(a.name), len(b.name)) })
	return files
}

// addHandle assigns a name to a handle and responds with it. It fails if the connection has reached its limit of
// handles.
func (s *session) addHandle(req *request, handle *openHandle) (*sftp.Packet, *failure) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.handles) >= s.front.options.Limits.Handles {
		return nil, failuref(sftp.Failure, "%d handles are open on this connection, no more are given", len(s.handles))
	}
	s.lastHandle++
	handle.name = strconv.Itoa(s.lastHandle)
	s.handles[handle.name] = handle
	return sftp.New(sftp.Handle, req.requestID).Text(handle.name), nil
}

// readHandle reads a handle name from a packet and returns the handle.
func (s *session) readHandle(fields *sftp.Fields) (*openHandle, *failure) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.findHandle(fields)
}

// removeHandle is like readHandle but also removes the handle, so that neither a later request nor Closed finds it.
func (s *session) removeHandle(fields *sftp.Fields) (*openHandle, *failure) {
	s.lock.Lock()
	defer s.lock.Unlock()
	handle, err := s.findHandle(fields)
	if err == nil {
		delete(s.handles, handle.name)
	}
	return handle, err
}

// findHandle implements readHandle. The caller holds the session's lock.
func (s *session) findHandle(fields *sftp.Fields) (*openHandle, *failure) {
	name := fields.Text()
	if fields.Err != nil {
		return nil, failuref(sftp.BadMessage, "%v", fields.Err)
	}
	if handle := s.handles[name]; handle != nil {
		return handle, nil
	}
	return nil, failuref(sftp.Failure, "no such handle")
}
