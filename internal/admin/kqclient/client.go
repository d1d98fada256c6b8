package kqclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"kumquatglade/internal/call/kqresponse"

	"github.com/cockroachdb/errors"
)

const (
	requestTimeout = 30 * time.Second
	maxAnswerBytes = 32 << 20 // four times the largest document; the command may run on the smallest host
	maxHeadBytes   = 64 << 10
)

// Config holds the settings of a Client.
type Config struct {
	Servers []string // admin addresses, tried in turn
	Key     string   // operator key
}

// Client tries the admin addresses one after the other.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a Client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: &http.Client{Timeout: requestTimeout, Transport: kqresponse.Transport{Base: &http.Transport{
		ResponseHeaderTimeout: requestTimeout, MaxResponseHeaderBytes: maxHeadBytes, DisableKeepAlives: true,
	}}}}
}

// RefusedError is an error answer of a server.
type RefusedError struct {
	Status         int
	Reason         string `json:"error"`
	Detail         string `json:"detail"`
	NextVersion    uint64 `json:"want"`
	Unknown        bool   `json:"unknown"`
	AcceptedChange *struct {
		Hash string    `json:"hash"`
		Time time.Time `json:"time"`
	} `json:"winner"`
}

func (r *RefusedError) Error() string {
	s := fmt.Sprintf("refused: %s", r.Reason)
	if r.Detail != "" {
		s += ": " + r.Detail
	}
	if r.AcceptedChange != nil {
		s += fmt.Sprintf("; accepted at %s with hash %s", r.AcceptedChange.Time.Format(time.RFC3339), r.AcceptedChange.Hash)
	}
	if r.NextVersion > 0 {
		s += fmt.Sprintf("; next version is %d", r.NextVersion)
	}
	return s
}

// ErrUnknown says that the outcome of a change is unknown: it is safe to
// repeat the same command.
var ErrUnknown = errors.New("unknown outcome, safe to repeat the same command")

// Get reads a document into out, from the first server that can answer.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.requestAny(ctx, http.MethodGet, path, nil, out)
}

// Put sends a document; the change is idempotent, so the next server is tried
// also when an answer was lost.
func (c *Client) Put(ctx context.Context, path string, body []byte, out any) error {
	return c.change(ctx, http.MethodPut, path, body, out)
}

// Delete removes a document.
func (c *Client) Delete(ctx context.Context, path string, out any) error {
	return c.change(ctx, http.MethodDelete, path, nil, out)
}

func (c *Client) change(ctx context.Context, method, path string, body []byte, out any) error {
	err := c.requestAny(ctx, method, path, body, out)
	var refused *RefusedError
	if err == nil || errors.As(err, &refused) && !refused.Unknown && refused.Status < http.StatusInternalServerError {
		return err
	}
	return errors.WithSecondaryError(errors.Wrap(ErrUnknown, err.Error()), err)
}

func (c *Client) requestAny(ctx context.Context, method, path string, body []byte, out any) error {
	err := errors.New("no server given")
	for _, s := range c.cfg.Servers {
		err = c.request(ctx, s, method, path, body, out)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) && refused.Status < http.StatusInternalServerError {
			return err
		}
	}
	return err
}

func (c *Client) request(ctx context.Context, server, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	p, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return errors.Wrapf(err, "answer of %s", server)
	}
	if len(p) > maxAnswerBytes {
		return errors.Newf("answer of %s: more than %d bytes", server, maxAnswerBytes)
	}
	if res.StatusCode != http.StatusOK {
		refused := &RefusedError{Status: res.StatusCode}
		if json.Unmarshal(p, refused) != nil || refused.Reason == "" {
			refused.Reason = res.Status
		}
		return refused
	}
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = p
		return nil
	}
	return errors.Wrapf(json.Unmarshal(p, out), "answer of %s", server)
}
