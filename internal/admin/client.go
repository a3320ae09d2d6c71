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

// maxResponseBytes bounds what a client reads of an answer.
const maxResponseBytes = 16 << 20

// GatewayError is the text of a gateway that answers a call with an error.
type GatewayError struct{ Message string }

// Error is the gateway's text.
func (e *GatewayError) Error() string { return e.Message }

// Client calls a gateway by its admin socket. A call fails with a *GatewayError where the gateway says no, and with the
// connection's error where it does not answer.
type Client struct{ http http.Client }

// Dial makes a client for the socket at a path. It connects with each call, which may take as long as timeout.
func Dial(path string, timeout time.Duration) *Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}
	return &Client{http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: dial}}}
}

// Status reports how the gateway stands.
func (c *Client) Status() (Status, error) { return call[Status](c, http.MethodGet, "/status", nil) }

// Members reports the gateway's endpoint list and its sources.
func (c *Client) Members() (EndpointReport, error) {
	return call[EndpointReport](c, http.MethodGet, "/members", nil)
}

// Confirm puts in force what the gateway holds: a loss of nodes, old lists.
func (c *Client) Confirm() (Confirmation, error) {
	return call[Confirmation](c, http.MethodPost, "/members/confirm", nil)
}

// StartCapture starts a capture in a folder; empty: in the configured one.
func (c *Client) StartCapture(folder string) (Capture, error) {
	return call[Capture](c, http.MethodPost, "/capture/start", map[string]string{"folder": folder})
}

// StopCapture stops the capture and waits until it is written.
func (c *Client) StopCapture() (Capture, error) {
	return call[Capture](c, http.MethodPost, "/capture/stop", nil)
}

// call does one request and reads its answer.
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
