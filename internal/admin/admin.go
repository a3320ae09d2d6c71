// Package admin lets a command-line tool speak to a gateway on the same machine: HTTP over a Unix socket that only the
// gateway's own user may open. It does what it is told by calling the gateway; it decides nothing.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Status is how a gateway stands.
type Status struct {
	Gateway          string                   `json:"gateway"`
	Address          string                   `json:"address"`
	Since            time.Time                `json:"since"`
	Requests         int                      `json:"held"` // jobs without their final answer
	AttemptsInFlight int                      `json:"out"`  // executions out
	LateAnswers      int64                    `json:"late"` // answers of nodes that came after their execution was given up
	RequestClasses   map[string]RequestCounts `json:"products"`
	Capture          Capture                  `json:"capture"`
	Nodes            map[string]int           `json:"nodes"` // by their state; see Members
	HeldLoss         *HeldLoss                `json:"lost,omitempty"`
	Version          string                   `json:"rules,omitempty"` // of a gateway that follows keepers: its state, and what it acts on
}

// RequestCounts counts a product's jobs since the gateway's start.
type RequestCounts struct {
	Accepted  int64 `json:"taken"`
	Succeeded int64 `json:"completed"`
	Rejected  int64 `json:"dismissed"`
	Failed    int64 `json:"written_off"`
	Cancelled int64 `json:"left"`
}

// Capture is how a gateway's capture stands.
type Capture struct {
	On      bool   `json:"on"`
	File    string `json:"file,omitempty"` // the present or the last one
	Written int64  `json:"written"`        // bytes
	Dropped int64  `json:"dropped"`        // records
	Error   string `json:"error,omitempty"`
}

// EndpointReport are the nodes as a gateway has them, and where it has them from.
type EndpointReport struct {
	Gateway     string     `json:"gateway"`
	ScheduledAt time.Time  `json:"told"` // when the decision module was told last; zero: never
	HeldLoss    *HeldLoss  `json:"held,omitempty"`
	Sources     []Source   `json:"sources"`
	Nodes       []Endpoint `json:"nodes"`
}

// HeldLoss is a loss of nodes that is not believed yet.
type HeldLoss struct {
	Since      time.Time `json:"since"`
	Nodes      int       `json:"nodes"`
	LeavesNone bool      `json:"all"` // nothing would be left: it waits for a confirmation or for the source's next word
}

// Source is a source of lists.
type Source struct {
	Name            string    `json:"name"`
	State           string    `json:"state"`
	Since           time.Time `json:"since"`
	LastError       string    `json:"trouble,omitempty"`
	Version         string    `json:"version"` // in force
	ReceivedAt      time.Time `json:"heard"`   // when that was said; zero: nothing was
	Nodes           int       `json:"nodes"`
	HeldVersion     string    `json:"held,omitempty"` // a version that is held as old
	RejectedUpdates int       `json:"refused"`        // updates
	LastRejection   string    `json:"refusal,omitempty"`
	LastRejectionAt time.Time `json:"refused_at,omitzero"`
}

// Endpoint is a node.
type Endpoint struct {
	Addr             string    `json:"addr"`
	Name             string    `json:"name,omitempty"`
	Shard            int       `json:"shard"`
	Zone             string    `json:"zone,omitempty"`
	State            string    `json:"state"`
	Since            time.Time `json:"since"`
	Reason           string    `json:"why"`
	Source           string    `json:"source"`
	Weight           float64   `json:"weight,omitempty"`
	AttemptsInFlight int       `json:"out"` // executions
}

// Confirmation is what a confirmation has released.
type Confirmation struct {
	Nodes int `json:"nodes"`
	Lists int `json:"lists"`
}

// Gateway is what can be asked of a gateway.
type Gateway interface {
	Status() (Status, error)
	Members() (EndpointReport, error)
	Confirm() (Confirmation, error)              // takes what is held at its word
	StartCapture(folder string) (Capture, error) // folder: empty for the configured one
	StopCapture() (Capture, error)
}

// Server serves a gateway's socket.
type Server struct {
	http *http.Server
	path string
}

// Listen serves at a socket. One that a dead gateway left is replaced; one that is served is not.
func Listen(path string, g Gateway) (*Server, error) {
	if conn, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("admin socket %s is served by another gateway", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("admin socket %s: there is a file of another kind", path)
	}
	_ = os.Remove(path) // where it cannot be removed, Listen says so
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, v any, err error) {
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v) // it fails where the client has gone
	}
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		s, err := g.Status()
		answer(w, s, err)
	})
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) {
		m, err := g.Members()
		answer(w, m, err)
	})
	mux.HandleFunc("POST /members/confirm", func(w http.ResponseWriter, _ *http.Request) {
		c, err := g.Confirm()
		answer(w, c, err)
	})
	mux.HandleFunc("POST /capture/start", func(w http.ResponseWriter, r *http.Request) {
		var ask struct{ Folder string }
		if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&ask); err != nil {
			answer(w, nil, fmt.Errorf("bad request: %w", err))
			return
		}
		c, err := g.StartCapture(ask.Folder)
		answer(w, c, err)
	})
	mux.HandleFunc("POST /capture/stop", func(w http.ResponseWriter, _ *http.Request) {
		c, err := g.StopCapture()
		answer(w, c, err)
	})
	mux.Handle("GET /metrics", metrics(g))
	s := &Server{http: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}, path: path}
	go func() { _ = s.http.Serve(l) }() // it returns when the server is closed
	return s, nil
}

// Close stops serving and takes the socket away.
func (s *Server) Close() {
	_ = s.http.Close()
	_ = os.Remove(s.path)
}

// Client asks a gateway.
type Client struct{ http http.Client }

// Dial makes a client for a socket. A gateway that hangs is waited for so long.
func Dial(path string, within time.Duration) *Client {
	return &Client{http.Client{Timeout: within, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}}}}
}

// ask does one call and reads its answer.
func (c *Client) ask(method, path string, body, into any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://gateway"+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	r, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("the gateway does not answer: %w", err)
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(r.Body, 16<<20))
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return errors.New(string(bytes.TrimSpace(text)))
	}
	return json.Unmarshal(text, into)
}

// Status asks how the gateway stands.
func (c *Client) Status() (s Status, err error) {
	err = c.ask("GET", "/status", nil, &s)
	return s, err
}

// StartCapture starts a capture.
func (c *Client) StartCapture(folder string) (out Capture, err error) {
	err = c.ask("POST", "/capture/start", map[string]string{"folder": folder}, &out)
	return out, err
}

// StopCapture stops the capture.
func (c *Client) StopCapture() (out Capture, err error) {
	err = c.ask("POST", "/capture/stop", nil, &out)
	return out, err
}

// Members asks for the nodes.
func (c *Client) Members() (m EndpointReport, err error) {
	return m, c.ask(http.MethodGet, "/members", nil, &m)
}

// Confirm has what is held taken at its word.
func (c *Client) Confirm() (f Confirmation, err error) {
	return f, c.ask(http.MethodPost, "/members/confirm", nil, &f)
}
