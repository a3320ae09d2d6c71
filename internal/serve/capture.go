package serve

import (
	"errors"
	"runtime/debug"
	"sync"

	"irispost/internal/admin"
	"irispost/internal/capture"
)

// Errors returned to clients of the admin socket, which print their texts.
var (
	errNoCapture    = errors.New("no capture is on")
	errNoCaptureDir = errors.New("no folder for captures is configured, name one")
)

// captureActiveError is returned when a capture is started while another one is active.
type captureActiveError struct{ file string }

func (e *captureActiveError) Error() string { return "a capture is on already: " + e.file }

// captureSession holds a gateway's capture. At most one is active at a time.
type captureSession struct {
	mu       sync.Mutex        // guards all fields
	recorder *capture.Recorder // nil while no capture is active
	status   admin.Capture     // of the active capture, or of the last one
}

// start opens a new capture file in dir, or in the configured directory if dir is empty. The caller holds mu, or has
// the only reference to the gateway.
func (s *captureSession) start(owner *Gateway, dir string) error {
	if s.recorder != nil {
		return &captureActiveError{file: s.status.File}
	}
	if dir == "" {
		dir = owner.Config.CaptureDir
	}
	if dir == "" {
		return errNoCaptureDir
	}
	recorder, file, err := capture.CreateInDir(dir, owner.Config.Name, buildVersion(), owner.Config.CaptureLimits)
	if err != nil {
		return err
	}
	owner.logger.Info("capture started", "gateway", owner.Config.Name, "file", file)
	s.recorder = recorder
	s.status = admin.Capture{On: true, File: file}
	return nil
}

// stop ends the active capture, if any, and returns the status of the last one.
func (s *captureSession) stop(owner *Gateway) admin.Capture {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorder == nil {
		return s.status
	}
	owner.Loop.SetTap(nil) // nothing is recorded after this, even if the loop has already ended
	err := s.recorder.Close(owner.Loop.Now())
	s.refresh()
	s.recorder = nil
	s.status.On = false
	if err != nil {
		s.status.Error = err.Error()
	}
	owner.logger.Info("capture stopped", "gateway", owner.Config.Name, "file", s.status.File,
		"bytes", s.status.Written, "dropped", s.status.Dropped, "err", s.status.Error)
	return s.status
}

// refresh updates the status from the recorder and returns it. The caller holds mu.
func (s *captureSession) refresh() admin.Capture {
	if s.recorder != nil {
		status := s.recorder.Status()
		s.status.Written, s.status.Dropped = status.Written, status.Dropped
	}
	return s.status
}

// StartCapture starts a capture in dir, or in the configured directory if dir is empty. The capture begins
// with the full state of the scheduler, so that it can be replayed from its first record.
func (g *Gateway) StartCapture(dir string) (admin.Capture, error) {
	s := &g.capture
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.start(g, dir); err != nil {
		return s.refresh(), err
	}
	if !g.Loop.SetTap(s.recorder) {
		return s.refresh(), errStopping
	}
	return s.refresh(), nil
}

// StopCapture ends the active capture and returns its status once its file is complete.
func (g *Gateway) StopCapture() (admin.Capture, error) {
	g.capture.mu.Lock()
	active := g.capture.recorder != nil
	g.capture.mu.Unlock()
	if !active {
		return admin.Capture{}, errNoCapture
	}
	return g.capture.stop(g), nil
}

// buildVersion returns the versions of the program and of Go, for the header of a capture.
func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version + " " + info.GoVersion
	}
	return "unknown"
}
