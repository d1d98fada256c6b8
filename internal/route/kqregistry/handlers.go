package kqregistry

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"kumquatglade/internal/call/kqbody"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/route/kqresolve"
	"kumquatglade/internal/state/kqcheck"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqfeed"

	"github.com/labstack/echo/v4"
)

const (
	maxAnnouncementBytes = 4 << 10
	announcementTimeout  = 5 * time.Second // for its body to arrive: far longer than a target waits
)

// announcement is the request body of POST /v1/targets.
type announcement struct {
	Service     string            `json:"service"`
	ID          string            `json:"id"`
	Addr        string            `json:"addr"`
	Domain      string            `json:"domain"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
	State       kqdirectory.State `json:"state"`
	Load        int               `json:"load"`
	Epoch       uint64            `json:"epoch"`
	Seq         uint64            `json:"seq"`
}

// entryItem is one entry host in a response.
type entryItem struct {
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
}

// renewal is the response to an announcement: the renewal interval and the entry
// hosts that accept announcements.
type renewal struct {
	Renew   string      `json:"renew"`
	Entries []entryItem `json:"entries"`
}

// resolution is the response of GET /v1/entries: entry hosts in the order of
// preference and how long to use them.
type resolution struct {
	Entries []entryItem `json:"entries"`
	Hold    string      `json:"hold"`
}

// refusal is an error response that kumquatglade itself makes, not a target.
type refusal struct {
	Error  string `json:"error"`
	Run    string `json:"run"`
	Detail string `json:"detail,omitempty"`
}

func refuse(c echo.Context, status int, cause, detail string) error {
	c.Response().Header().Set(kqheader.Run, kqheader.RunNo)
	return c.JSON(status, refusal{Error: cause, Run: kqheader.RunNo, Detail: detail})
}

// Register adds POST /v1/targets and GET /v1/entries.
func (r *TargetRegistry) Register(e *echo.Echo) {
	e.POST("/v1/targets", r.postTarget, kqbody.NewMemory(0).Middleware(maxAnnouncementBytes, announcementTimeout))
	e.GET("/v1/entries", r.getEntries)
}

func (r *TargetRegistry) postTarget(c echo.Context) error {
	p, err := io.ReadAll(io.LimitReader(c.Request().Body, maxAnnouncementBytes+1))
	if err != nil || len(p) > maxAnnouncementBytes {
		r.refused.Inc(1)
		return refuse(c, http.StatusBadRequest, "malformed", "body too long or cut off")
	}
	var a announcement
	dec := json.NewDecoder(bytes.NewReader(p))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		r.refused.Inc(1)
		return refuse(c, http.StatusBadRequest, "malformed", err.Error())
	}
	rec := kqdirectory.Record{
		Service: a.Service, ID: a.ID, Addr: a.Addr, Domain: a.Domain, Slots: a.Slots, Connections: a.Connections,
		State: a.State, Load: a.Load, Epoch: a.Epoch, Seq: a.Seq,
	}
	if err := rec.Validate(); err != nil {
		r.refused.Inc(1)
		return refuse(c, http.StatusBadRequest, "malformed", err.Error())
	}
	if err := r.Announce(c.Request().Context(), rec); err != nil {
		return refuse(c, http.StatusConflict, "old", err.Error())
	}
	return c.JSON(http.StatusOK, renewal{Renew: kqdirectory.RenewInterval.String(), Entries: r.announceHosts()})
}

// announceHosts lists the entry hosts that a target may announce itself to. This
// host comes first, so that the lease stays with one host.
func (r *TargetRegistry) announceHosts() []entryItem {
	v := r.cfg.NewestView()
	if v == nil {
		return []entryItem{}
	}
	list := []entryItem{}
	for _, h := range r.availableHosts(v) {
		item := entryItem{Addr: h.Calls, Domain: h.Domain}
		if h.Name == r.cfg.Host {
			list = append([]entryItem{item}, list...)
		} else {
			list = append(list, item)
		}
	}
	return list
}

// availableHosts returns the entry hosts that are reachable from this one and not
// shutting down.
func (r *TargetRegistry) availableHosts(v *kqfeed.View) []kqcontract.EntryHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []kqcontract.EntryHost{}
	for _, h := range v.Hosts.Entry {
		self := h.Name == r.cfg.Host
		if self && !r.selfLeaving || !self && !r.leaving[h.Name] && r.cfg.Link.Up(h.Name) {
			list = append(list, h)
		}
	}
	return list
}

func (r *TargetRegistry) getEntries(c echo.Context) error {
	v := r.cfg.View()
	if v == nil {
		return refuse(c, http.StatusServiceUnavailable, "cut", "")
	}
	service, owner := c.QueryParam("service"), c.Request().Header.Get(kqheader.Owner)
	if !kqcheck.IsName(service) || !kqcheck.IsName(owner) {
		return refuse(c, http.StatusBadRequest, "malformed", "service and "+kqheader.Owner+" are required")
	}
	contract := v.Contracts[owner]
	if contract == nil {
		return refuse(c, http.StatusNotFound, "owner", "")
	}
	if _, ok := contract.Service(service); !ok {
		return refuse(c, http.StatusNotFound, "service", "")
	}
	hosts := r.Preferred(v, service)
	out := resolution{Entries: []entryItem{}, Hold: jitteredHold().String()}
	for _, h := range hosts {
		out.Entries = append(out.Entries, entryItem{Addr: h.Calls, Domain: h.Domain})
	}
	return c.JSON(http.StatusOK, out)
}

// Preferred returns the entry hosts that callers of a service are sent to, in the
// order of preference.
func (r *TargetRegistry) Preferred(v *kqfeed.View, service string) []kqcontract.EntryHost {
	rate := contractedRate(v, service)
	if r.cfg.AllEntryHosts {
		rate = math.Inf(1)
	}
	return kqresolve.Entries(kqresolve.Query{Service: service, Rate: rate, Hosts: r.availableHosts(v)})
}

// jitteredHold returns the hold time within 10 % of kqresolve.HoldTime, so that
// callers do not all resolve again at the same moment.
func jitteredHold() time.Duration {
	return (kqresolve.HoldTime*9/10 + rand.N(kqresolve.HoldTime/5)).Round(time.Millisecond)
}

// contractedRate returns the calls per second that all contracts together grant on
// the service.
func contractedRate(v *kqfeed.View, service string) float64 {
	sum := 0.0
	for _, c := range v.Contracts {
		if s, ok := c.Service(service); ok {
			sum += s.Rate
		}
	}
	return sum
}
