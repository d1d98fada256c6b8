package kqapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"kumquatglade/internal/call/kqbody"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/state/kqcheck"
	"kumquatglade/internal/state/kqtargets"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
)

const (
	maxAnnouncementBytes = 4 << 10
	renewInterval        = time.Second
	bodyTimeout          = 5 * time.Second // for the body of an announcement to arrive
	announceTimeout      = 2 * time.Second // a target gets 503 if its announcement is undecided by then
)

// Announcer accepts announcements of targets.
type Announcer interface {
	// Announce returns nil once the announcement is certain to reach all connected
	// entry hosts.
	Announce(ctx context.Context, t kqtargets.Target) error
}

// announcement is the request body of POST /v1/targets.
type announcement struct {
	Service string          `json:"service" validate:"required,word"`
	ID      string          `json:"id" validate:"required,word"`
	Addr    string          `json:"addr" validate:"required,ipport"`
	Domain  string          `json:"domain" validate:"required,word"`
	Slots   int             `json:"slots" validate:"min=1,max=65536"`
	State   kqtargets.State `json:"state" validate:"oneof=ready draining gone"`
	Boot    int64           `json:"boot" validate:"min=1"` // start time of the target, ms since 1970
	Seq     uint64          `json:"seq" validate:"min=1"`  // sequence number of the announcement since that start

	Cold kqsettings.Duration `json:"cold"` // for which the target stays cold
}

type renewal struct {
	Renew string `json:"renew"`
}

type refusal struct {
	Error  string `json:"error"`
	Detail string `json:"detail"`
}

// RegisterTargets adds POST /v1/targets, which passes valid announcements to a.
func RegisterTargets(e *echo.Echo, a Announcer) {
	e.POST("/v1/targets", func(c echo.Context) error {
		t, err := decode(c.Request().Body)
		if err != nil {
			return c.JSON(http.StatusBadRequest, refusal{"malformed", err.Error()})
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), announceTimeout)
		defer cancel()
		err = a.Announce(ctx, t)
		switch {
		case errors.Is(err, kqtargets.ErrInvalid):
			return c.JSON(http.StatusBadRequest, refusal{"malformed", err.Error()})
		case err != nil:
			return c.JSON(http.StatusServiceUnavailable, refusal{"undecided", err.Error()})
		}
		return c.JSON(http.StatusOK, renewal{renewInterval.String()})
	}, kqbody.NewMemory(0).Middleware(maxAnnouncementBytes, bodyTimeout))
}

func decode(r io.Reader) (kqtargets.Target, error) {
	p, err := io.ReadAll(io.LimitReader(r, maxAnnouncementBytes+1))
	if err != nil {
		return kqtargets.Target{}, err
	}
	if len(p) > maxAnnouncementBytes {
		return kqtargets.Target{}, errors.Newf("more than %d bytes", maxAnnouncementBytes)
	}
	var a announcement
	if err := kqcheck.Literal(p, &a); err != nil {
		return kqtargets.Target{}, err
	}
	if err := json.Unmarshal(p, &a); err != nil {
		return kqtargets.Target{}, err
	}
	if err := kqcheck.Struct(&a); err != nil {
		return kqtargets.Target{}, err
	}
	return kqtargets.Target{
		ID: a.ID, Boot: a.Boot, Seq: a.Seq, Service: a.Service, Addr: a.Addr, Domain: a.Domain, Slots: a.Slots, State: a.State,
		ColdRemaining: time.Duration(a.Cold),
	}, nil
}

// entryItem is one entry host in a response.
type entryItem struct {
	Addr string `json:"addr"`
}

type resolution struct {
	Entries []entryItem `json:"entries"`
	Hold    string      `json:"hold"`
}

// maxEntries is the maximum number of entry hosts in a response.
const maxEntries = 64

// RegisterDirectory adds GET /v1/entries. The function entries gets the caller's
// failure domain, as given in the query, and the maximum number of addresses. It
// returns the addresses of entry hosts and how long the caller may keep them.
func RegisterDirectory(e *echo.Echo, entries func(domain string, most int) ([]string, time.Duration)) {
	e.GET("/v1/entries", func(c echo.Context) error {
		list, hold := entries(c.QueryParam("domain"), maxEntries)
		if len(list) == 0 {
			return c.JSON(http.StatusServiceUnavailable, refusal{"entries", "no entry host is known yet"})
		}
		out := resolution{Hold: hold.String()}
		for _, addr := range list {
			out.Entries = append(out.Entries, entryItem{addr})
		}
		return c.JSON(http.StatusOK, out)
	})
}

// RegisterReady adds GET /v1/ready, which answers 200 if ready returns true and 503
// otherwise.
func RegisterReady(e *echo.Echo, ready func() bool) {
	e.GET("/v1/ready", func(c echo.Context) error {
		if !ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
}
