package kqbody

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
)

// noRoomRetryAfter is when a caller without room should come back, in seconds: paused bodies
// are ended in that time.
const noRoomRetryAfter = "1"

// Middleware reads the body of each request before its handler runs: up to one byte more than
// the handler allows. It refuses a body for which there is no room with 503, and one that does
// not arrive within the timeout with 408.
func (m *Memory) Middleware(allowed int64, timeout time.Duration) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			r := c.Request()
			if r.Body == nil || r.Body == http.NoBody {
				return next(c)
			}
			rc := http.NewResponseController(c.Response())
			b := m.NewBuffer(r.ContentLength, allowed+1, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) }) // not all writers support it
			defer b.Release()
			deadline := time.Now().Add(timeout)
			_ = rc.SetReadDeadline(deadline) // not all writers support it
			if _, err := b.Fill(r.Body, deadline, r.Context().Done()); err != nil {
				return refuse(c, err)
			}
			_ = rc.SetReadDeadline(time.Time{}) // not all writers support it
			r.Body = io.NopCloser(bytes.NewReader(b.Bytes()))
			return next(c)
		}
	}
}

// refuse answers a request whose body was not read.
func refuse(c echo.Context, err error) error {
	c.Response().Header().Set("Connection", "close")
	if errors.Is(err, ErrNoRoom) {
		c.Response().Header().Set("Retry-After", noRoomRetryAfter)
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusRequestTimeout, "body: "+err.Error()+"\n")
}
