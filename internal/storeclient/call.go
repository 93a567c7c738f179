package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"balsamfork/internal/store"
)

// maxAnswer bounds what is read of an answer, in bytes: a value in base64 and
// the JSON around it.
const maxAnswer = 2 * store.MaxValue

// call is one request to the service.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	into   any
}

// isWrite reports whether the call may change something.
func (k call) isWrite() bool { return k.method != http.MethodGet }

// do makes one call and maps its outcome to the classes of package store.
func (c *Client) do(ctx context.Context, timeout time.Duration, k call) error {
	c.metrics.calls.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.exchange(ctx, k)
	if !isAnswer(err) {
		c.metrics.failures.Inc(1)
	}
	return err
}

func (c *Client) exchange(ctx context.Context, k call) error {
	address := c.base + "/v1/" + k.path
	if len(k.query) > 0 {
		address += "?" + k.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, k.method, address, bytes.NewReader(k.body))
	if err != nil {
		return store.Unavailable.New("%s: %w", k.path, err)
	}
	// Only the caller repeats a write: the transport must not do it unseen.
	if k.isWrite() {
		request.GetBody = nil
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return k.failed(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return k.failed(err)
	}
	return k.outcome(answer.StatusCode, body)
}

// failed classes an error without an answer. A write that never left is
// Unavailable, any other Unknown.
func (k call) failed(err error) error {
	var dial *net.OpError
	if !k.isWrite() || errors.As(err, &dial) && dial.Op == "dial" {
		return store.Unavailable.New("%s: %w", k.path, err)
	}
	return store.Unknown.New("%s: %w", k.path, err)
}

// outcome classes an answer.
func (k call) outcome(status int, body []byte) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(body, k.into); err != nil {
			return k.failed(err)
		}
		return nil
	case http.StatusNoContent:
		return nil
	}
	return k.class(status).New("%s: status %d: %s", k.path, status, bytes.TrimSpace(body))
}

func (k call) class(status int) *errs.Class {
	switch status {
	case http.StatusNotFound:
		return &store.NotFound
	case http.StatusConflict:
		return &store.Conflict
	case http.StatusRequestEntityTooLarge:
		return &store.TooLarge
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return &store.Unavailable
	}
	if k.isWrite() {
		return &store.Unknown
	}
	return &store.Unavailable
}
