// Package admin connects command-line tools to a gateway on the same machine: HTTP over a Unix socket that only the
// gateway's own user may open. Server is run by package serve, Client by the commands. The server owns its socket file
// and no other state: each answer is asked of the gateway.
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

// ErrSocketInUse says that another gateway answers at the path of an admin socket.
var ErrSocketInUse = errors.New("is served by another gateway")

const (
	// probeTimeout bounds the probe whether a gateway answers at a socket already.
	probeTimeout      = time.Second
	readHeaderTimeout = 5 * time.Second
	maxRequestBytes   = 1 << 16
)

// Gateway is what the server asks of a gateway, from any goroutine.
type Gateway interface {
	Status() (Status, error)
	Members() (EndpointReport, error)
	Confirm() (Confirmation, error)              // puts in force what is held
	StartCapture(folder string) (Capture, error) // folder: empty for the configured one
	StopCapture() (Capture, error)
}

// Server serves a gateway's admin socket.
type Server struct {
	http *http.Server
	path string
}

// Listen serves at the path of a socket until Close. A socket that a dead gateway left is replaced; one that is served
// is ErrSocketInUse.
func Listen(path string, gateway Gateway) (*Server, error) {
	listener, err := listen(path)
	if err != nil {
		return nil, err
	}
	s := &Server{http: &http.Server{Handler: handler(gateway), ReadHeaderTimeout: readHeaderTimeout}, path: path}
	go func() { _ = s.http.Serve(listener) }() // it returns when the server is closed
	return s, nil
}

// Close stops serving and removes the socket. Answers that are under way are cut off.
func (s *Server) Close() {
	_ = s.http.Close()
	_ = os.Remove(s.path) // the listener has removed it, where it was closed in time
}

// listen opens the socket for the gateway's own user alone.
func listen(path string) (net.Listener, error) {
	if conn, err := net.DialTimeout("unix", path, probeTimeout); err == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("admin socket %s %w", path, ErrSocketInUse)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("admin socket %s: there is a file of another kind", path)
	}
	_ = os.Remove(path) // where it cannot be removed, the next step fails
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

// handler has the routes of the socket.
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

// writeResult writes a result as JSON, or an error as text with status 409.
func writeResult(w http.ResponseWriter, result any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result) // it fails where the client has gone
}
