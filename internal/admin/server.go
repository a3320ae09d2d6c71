// Package admin connects command-line tools to a gateway on the same machine: HTTP over a Unix socket that only the
// gateway's own user may open. Package serve runs the Server, the commands use the Client. The server owns its socket
// file and no other state; it gets each response from the gateway.
package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// ErrSocketInUse is returned if another gateway already serves an admin socket at the path.
var ErrSocketInUse = errors.New("is served by another gateway")

const (
	// probeTimeout limits the check whether another gateway serves the socket.
	probeTimeout      = time.Second
	readHeaderTimeout = 5 * time.Second
	maxRequestBytes   = 1 << 16
)

// Gateway is the interface through which the server calls a gateway. Its methods must be safe for concurrent use.
type Gateway interface {
	Status() (Status, error)
	Members() (EndpointReport, error)
	Confirm() (Confirmation, error)              // puts held losses and lists in force
	StartCapture(folder string) (Capture, error) // folder: empty for the configured one
	StopCapture() (Capture, error)
}

// Server serves a gateway's admin socket.
type Server struct {
	http *http.Server
	path string
}

// Listen serves the admin socket at path until Close. It replaces a socket that a dead gateway has left, and returns
// ErrSocketInUse if the socket is still served.
func Listen(path string, gateway Gateway) (*Server, error) {
	listener, err := listen(path)
	if err != nil {
		return nil, err
	}
	s := &Server{http: &http.Server{Handler: handler(gateway), ReadHeaderTimeout: readHeaderTimeout}, path: path}
	go func() { _ = s.http.Serve(listener) }() // returns when the server is closed
	return s, nil
}

// Close stops the server and removes the socket. It cuts off responses that are in progress.
func (s *Server) Close() {
	_ = s.http.Close()
	_ = os.Remove(s.path) // usually gone already: closing the listener removes it, unless Serve has not begun
}

// listen opens the socket with access for the gateway's own user only.
func listen(path string) (net.Listener, error) {
	if conn, err := net.DialTimeout("unix", path, probeTimeout); err == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("admin socket %s %w", path, ErrSocketInUse)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("admin socket %s: the path holds a file of another kind", path)
	}
	_ = os.Remove(path) // if this fails, Listen below fails too
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	return listener, nil
}

// handler returns the routes of the admin socket.
func handler(gateway Gateway) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		status, err := gateway.Status()
		writeResult(w, status, err)
	})
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) {
		report, err := gateway.Members()
		writeResult(w, report, err)
	})
	mux.HandleFunc("POST /members/confirm", func(w http.ResponseWriter, _ *http.Request) {
		confirmation, err := gateway.Confirm()
		writeResult(w, confirmation, err)
	})
	mux.HandleFunc("POST /capture/start", func(w http.ResponseWriter, r *http.Request) {
		var request struct{ Folder string }
		if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&request); err != nil {
			writeResult(w, nil, fmt.Errorf("bad request: %w", err))
			return
		}
		capture, err := gateway.StartCapture(request.Folder)
		writeResult(w, capture, err)
	})
	mux.HandleFunc("POST /capture/stop", func(w http.ResponseWriter, _ *http.Request) {
		capture, err := gateway.StopCapture()
		writeResult(w, capture, err)
	})
	mux.Handle("GET /metrics", metricsHandler(gateway))
	return mux
}

// writeResult responds with a result as JSON, or with an error as text and status 409.
func writeResult(w http.ResponseWriter, result any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result) // fails if the client has disconnected
}
