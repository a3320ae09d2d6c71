package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// maxResponseBytes limits how much of a response a client reads.
const maxResponseBytes = 16 << 20

// GatewayError is an error that the gateway returned for a call.
type GatewayError struct{ Message string }

// Error returns the gateway's error text.
func (e *GatewayError) Error() string { return e.Message }

// Client calls a gateway through its admin socket. A call returns a *GatewayError if the gateway refuses it, and the
// connection's error if the gateway does not answer.
type Client struct{ http http.Client }

// Dial returns a client for the socket at path. It connects on each call; timeout limits the whole call.
func Dial(path string, timeout time.Duration) *Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}
	return &Client{http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: dial}}}
}

// Status returns the state of the gateway.
func (c *Client) Status() (Status, error) { return call[Status](c, http.MethodGet, "/status", nil) }

// Members returns the gateway's endpoint list and its sources.
func (c *Client) Members() (EndpointReport, error) {
	return call[EndpointReport](c, http.MethodGet, "/members", nil)
}

// Confirm puts in force what the gateway holds: a loss of nodes that is held down, and lists that are held back as
// older.
func (c *Client) Confirm() (Confirmation, error) {
	return call[Confirmation](c, http.MethodPost, "/members/confirm", nil)
}

// StartCapture starts a capture in a folder, or in the configured folder if folder is empty.
func (c *Client) StartCapture(folder string) (Capture, error) {
	return call[Capture](c, http.MethodPost, "/capture/start", map[string]string{"folder": folder})
}

// StopCapture stops the capture and waits until it is completely written.
func (c *Client) StopCapture() (Capture, error) {
	return call[Capture](c, http.MethodPost, "/capture/stop", nil)
}

// call sends a request and decodes its response.
func call[Result any](client *Client, method, path string, body any) (result Result, err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return result, err
	}
	request, err := http.NewRequest(method, "http://gateway"+path, bytes.NewReader(encoded))
	if err != nil {
		return result, err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return result, fmt.Errorf("the gateway does not answer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return result, err
	}
	if response.StatusCode != http.StatusOK {
		return result, &GatewayError{Message: string(bytes.TrimSpace(responseBody))}
	}
	return result, json.Unmarshal(responseBody, &result)
}
