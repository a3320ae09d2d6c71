package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
)

// Client speaks to keepers, whichever leads.
type Client struct {
	Replicas   []string // addresses
	Timeout    time.Duration
	HTTPClient *http.Client // nil: the default
}

// RejectedError is a keeper's answer that stands: asking another helps nothing.
type RejectedError struct{ Message string }

func (e *RejectedError) Error() string { return e.Message }

// Call asks one keeper once.
func (c *Client) Call(ctx context.Context, keeper, method, path string, body, into any) error {
	var sent io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		sent = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, (&url.URL{Scheme: "http", Host: keeper}).String()+path, sent)
	if err != nil {
		return err
	}
	req.Header.Set("User-Agent", "") // none: a gateway asks each second
	r, err := c.http().Do(req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(io.LimitReader(r.Body, 256<<20))
	if err != nil {
		return err
	}
	switch r.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(text, into)
	case http.StatusConflict, http.StatusBadRequest:
		return &RejectedError{strings.TrimSpace(string(text))}
	}
	return fmt.Errorf("keeper %s: %s", keeper, strings.TrimSpace(string(text)))
}

func (c *Client) http() *http.Client {
	if c.HTTPClient == nil {
		return http.DefaultClient
	}
	return c.HTTPClient
}

// ask asks all in turn until one that leads answers.
func (c *Client) ask(method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	var last error
	for ctx.Err() == nil {
		for _, k := range c.Replicas {
			each, end := context.WithTimeout(ctx, max(c.Timeout/4, time.Second))
			err := c.Call(each, k, method, path, body, into)
			end()
			var refused *RejectedError
			if err == nil || errors.As(err, &refused) {
				return err
			}
			if last == nil || ctx.Err() == nil {
				last = err
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("no keeper answers as the leading one within %v, the last word: %w", c.Timeout, last)
}

// Status asks how the fleet stands.
func (c *Client) Status() (s Status, err error) {
	return s, c.ask(http.MethodGet, "/status", nil, &s)
}

// Propose proposes a change. It is asked for until it is known whether it is in the log.
func (c *Client) Propose(p *lease.Proposal) (v *configversion.Version, err error) {
	v = &configversion.Version{}
	return v, c.ask(http.MethodPost, "/propose", p, v)
}
