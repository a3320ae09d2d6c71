package replica

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/lease"
)

const (
	maxResponseBytes  = 256 << 20
	minAttemptTimeout = time.Second           // for one replica, even if its share of the client's timeout is less
	retryInterval     = 50 * time.Millisecond // pause after all replicas have been tried

	// maxContentResponseBytes allows for content that cannot be compressed, which grows slightly when it is encoded.
	maxContentResponseBytes = configversion.MaxContentBytes + configversion.MaxContentBytes/64
)

// Client calls the replicas of a group. Call and FetchContent call a given replica; the other methods try all replicas
// in turn until the leader answers.
type Client struct {
	Replicas   []string // addresses
	Timeout    time.Duration
	HTTPClient *http.Client // nil: http.DefaultClient
}

// RejectedError reports that a request was rejected for good: another replica would reject it too.
type RejectedError struct{ Message string }

// Error returns the text of the replica's response.
func (e *RejectedError) Error() string { return e.Message }

// Call sends one request to one replica and stores the decoded JSON response in the value that into points to. Body is
// sent as JSON; nil sends no body.
func (c *Client) Call(ctx context.Context, replica, method, path string, body, into any) error {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(encoded)
	}
	req, err := newClientRequest(ctx, replica, method, path, reader)
	if err != nil {
		return err
	}
	response, err := c.httpClient().Do(req)
	if err != nil {
		return err
	}
	defer closeBody(response)
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	switch response.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(responseBody, into)
	case http.StatusConflict, http.StatusBadRequest:
		return &RejectedError{strings.TrimSpace(string(responseBody))}
	default:
		return fmt.Errorf("replica %s: %s", replica, strings.TrimSpace(string(responseBody)))
	}
}

// newClientRequest creates a request without a User-Agent header: no replica reads it, and a gateway sends a request
// every second.
func newClientRequest(ctx context.Context, replica, method, path string, body io.Reader) (*http.Request, error) {
	base := url.URL{Scheme: "http", Host: replica}
	req, err := http.NewRequestWithContext(ctx, method, base.String()+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", "")
	return req, nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTPClient == nil {
		return http.DefaultClient
	}
	return c.HTTPClient
}

// callLeader tries all replicas in turn until the leader answers or the client's timeout has passed.
func (c *Client) callLeader(method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		for _, replica := range c.Replicas {
			err := c.tryReplica(ctx, replica, method, path, body, into)
			var rejected *RejectedError
			if err == nil || errors.As(err, &rejected) {
				return err
			}
			if lastErr == nil || ctx.Err() == nil { // after our own deadline errors say nothing about replicas
				lastErr = err
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	return fmt.Errorf("no replica answered as the leader within %v; last error: %w", c.Timeout, lastErr)
}

// tryReplica calls one replica with a part of the timeout, so that a replica that hangs leaves time for the others.
func (c *Client) tryReplica(ctx context.Context, replica, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, max(c.Timeout/4, minAttemptTimeout))
	defer cancel()
	return c.Call(ctx, replica, method, path, body, into)
}

// Status returns the state of the group as its leader knows it.
func (c *Client) Status() (Status, error) {
	var status Status
	err := c.callLeader(http.MethodGet, "/status", nil, &status)
	return status, err
}

// Propose proposes a version. It is retried, under the same proposal ID, until it is known whether it is in the log.
func (c *Client) Propose(proposal *lease.Proposal) (*configversion.Version, error) {
	version := &configversion.Version{}
	err := c.callLeader(http.MethodPost, "/propose", proposal, version)
	return version, err
}

// ChangeMembership changes which replicas vote. Repeating a change that has taken effect does nothing.
func (c *Client) ChangeMembership(change *MembershipChange) error {
	done := false
	return c.callLeader(http.MethodPost, "/voters", change, &done)
}

// Versions lists the versions from a number on. Versions whose content is no longer kept are listed without it.
func (c *Client) Versions(from uint64) ([]*configversion.Version, error) {
	var list []*configversion.Version
	for {
		page, err := c.versionsPage(from)
		if err != nil || len(page) == 0 {
			return list, err
		}
		list = append(list, page...)
		from = page[len(page)-1].Number + 1
	}
}

// Version returns the version with a number, or nil if there is none.
func (c *Client) Version(number uint64) (*configversion.Version, error) {
	page, err := c.versionsPage(number)
	if err != nil || len(page) == 0 || page[0].Number != number {
		return nil, err
	}
	return page[0], nil
}

func (c *Client) versionsPage(from uint64) ([]*configversion.Version, error) {
	var page []*configversion.Version
	err := c.callLeader(http.MethodGet, "/versions?from="+strconv.FormatUint(from, 10), nil, &page)
	return page, err
}

// FetchContent requests a version's content from one replica, by digest. If the request names a base, the response may
// be a delta from it. The response is not checked against the digest.
func (c *Client) FetchContent(
	ctx context.Context, replica string, request content.Request,
) (coding string, encoded []byte, err error) {
	req, err := newClientRequest(ctx, replica, http.MethodGet, "/content/"+request.Digest, nil)
	if err != nil {
		return "", nil, err
	}
	req.Header.Set("Accept-Encoding", content.EncodingZstd)
	if request.Base != "" {
		hash := request.BaseHash()
		req.Header.Set("Accept-Encoding", content.EncodingDelta+", "+content.EncodingZstd)
		req.Header.Set(headerBaseHash, ":"+base64.StdEncoding.EncodeToString(hash[:])+":")
		req.Header.Set(headerBaseDigest, `"`+request.Base+`"`)
	}
	response, err := c.httpClient().Do(req)
	if err != nil {
		return "", nil, err
	}
	defer closeBody(response)
	encoded, err = io.ReadAll(io.LimitReader(response.Body, maxContentResponseBytes+1))
	switch {
	case err != nil:
		return "", nil, err
	case response.StatusCode == http.StatusNotFound:
		return "", nil, ErrContentNotFound
	case response.StatusCode != http.StatusOK:
		return "", nil, fmt.Errorf("replica %s: %s", replica, response.Status)
	case len(encoded) > maxContentResponseBytes:
		return "", nil, fmt.Errorf("replica %s: the content is larger than %d bytes", replica, maxContentResponseBytes)
	}
	return response.Header.Get("Content-Encoding"), encoded, nil
}
