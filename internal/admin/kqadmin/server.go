package kqadmin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/call/kqbody"
	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqroutes"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

// bodyTimeout is how long a document of an operator may take to arrive: the time after which
// the command gives up.
const bodyTimeout = 30 * time.Second

// submitTimeout bounds the wait for a quorum to decide a change or confirm a read.
const submitTimeout = 10 * time.Second

// Config holds the settings and dependencies of a Server.
type Config struct {
	OperatorKey string // key that operators present
	Link        kq.Link
	Store       kqcontrol.Store
	Events      *kqevent.Recorder
	Metrics     metrics.Registry
	Status      func() Status
	Targets     func() []kqdirectory.Record  // nil on a host without the role entry
	Account     func(string) []kqaccount.Row // nil on a host without the role entry
	Owners      func() kqproxy.OwnersUsage   // nil on a host that serves no routes
	Health      func() bool                  // whether callers and targets may use this host
	Hosts       func() []string              // all hosts to gather from
}

// Status is what operators see of one host.
type Status struct {
	Host     string   `json:"host"`
	Domain   string   `json:"domain"`
	Region   string   `json:"region"`
	Roles    []string `json:"roles"`
	Revision uint64   `json:"revision"` // contracts in force here
	Serving  bool     `json:"serving"`  // false: cut off, not ready, or stopping
	Hub      string   `json:"hub,omitempty"`
	Calls    int64    `json:"calls"`
	Replica  any      `json:"replica,omitempty"`
	Shares   any      `json:"shares,omitempty"` // what this host granted owners with a limit

	Evacuated []string        `json:"evacuated,omitempty"` // failure domains, as this host knows
	Peers     map[string]bool `json:"peers,omitempty"`     // linked or not
}

// Server answers operators.
type Server struct {
	cfg    Config
	key    [sha256.Size]byte
	denied metrics.Counter
}

// NewServer returns a Server.
func NewServer(cfg Config) *Server {
	return &Server{
		cfg: cfg, key: sha256.Sum256([]byte(cfg.OperatorKey)),
		denied: metrics.GetOrRegisterCounter("admin.denied", cfg.Metrics),
	}
}

// Register adds the operators' routes.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/health", s.health)
	g := e.Group("/v1", s.authorize)
	bodies := kqbody.NewMemory(kqroutes.MaxDocument)
	small := bodies.Middleware(kqcontract.MaxDocumentBytes, bodyTimeout)
	g.PUT("/contracts/:owner", s.putContract, small)
	g.DELETE("/contracts/:owner", s.deleteContract)
	g.GET("/contracts/:owner", s.getContract)
	g.GET("/contracts", s.listContracts)
	g.GET("/history", s.history)
	g.PUT("/routes", s.putRoutes, bodies.Middleware(kqroutes.MaxDocument, bodyTimeout))
	g.GET("/routes", s.getRoutes)
	g.GET("/routes/history", s.routesHistory)
	g.GET("/evacuations", s.listEvacuations)
	g.PUT("/evacuations/:domain", func(c echo.Context) error { return s.evacuate(c, true) })
	g.DELETE("/evacuations/:domain", func(c echo.Context) error { return s.evacuate(c, false) })
	g.GET("/owners", s.owners)
	g.GET("/hosts", s.getHosts)
	g.PUT("/hosts", s.putHosts, small)
	g.GET("/status", s.status)
	g.GET("/targets", s.targets)
	g.GET("/accounts/:owner", s.account)
	g.GET("/events", s.events)
	g.GET("/metrics", s.metrics)
}

// errorBody is the body of every error answer to an operator.
type errorBody struct {
	Error          string               `json:"error"`
	Detail         string               `json:"detail,omitempty"`
	AcceptedChange *kqcontract.Accepted `json:"winner,omitempty"`  // change that already has the version
	NextVersion    uint64               `json:"want,omitempty"`    // version that would be accepted
	Unknown        bool                 `json:"unknown,omitempty"` // the change may or may not be accepted
}

// authorize compares the presented key in constant time.
func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		if !ok || subtle.ConstantTimeCompare(sum[:], s.key[:]) != 1 {
			s.denied.Inc(1)
			return c.JSON(http.StatusUnauthorized, errorBody{Error: "key", Detail: "wrong operator key"})
		}
		return next(c)
	}
}

func (s *Server) health(c echo.Context) error {
	if !s.cfg.Health() {
		return c.String(http.StatusServiceUnavailable, "not serving\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

func (s *Server) status(c echo.Context) error {
	if c.QueryParam("all") == "" {
		return c.JSON(http.StatusOK, s.cfg.Status())
	}
	list, missing := gather[Status](c.Request().Context(), s, MethodStatus, nil)
	return c.JSON(http.StatusOK, statusList{list, missing})
}

func (s *Server) targets(c echo.Context) error {
	if s.cfg.Targets == nil {
		return c.JSON(http.StatusNotFound, errorBody{Error: "role", Detail: "ask an entry host"})
	}
	return c.JSON(http.StatusOK, s.cfg.Targets())
}

func (s *Server) account(c echo.Context) error {
	lists, missing := gather[[]kqaccount.Row](c.Request().Context(), s, MethodAccount, accountQuery{c.Param("owner")})
	return c.JSON(http.StatusOK, accountAnswer{Rows: kqaccount.MergeRows(lists...), Missing: missing})
}

func (s *Server) events(c echo.Context) error {
	since, err := kqevent.ParseTimestamp(c.QueryParam("since"))
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{Error: "since", Detail: err.Error()})
	}
	if c.QueryParam("all") == "" {
		list, _ := s.cfg.Events.Since(since)
		return c.JSON(http.StatusOK, eventAnswer{Events: list})
	}
	lists, missing := gather[[]kqevent.Event](c.Request().Context(), s, MethodEvents, eventQuery{Since: since, Most: maxGathered / max(len(s.cfg.Hosts()), 1)})
	return c.JSON(http.StatusOK, eventAnswer{Events: mergeEvents(lists), Missing: missing})
}

func (s *Server) metrics(c echo.Context) error {
	c.Response().Header().Set("Content-Type", "application/json")
	c.Response().WriteHeader(http.StatusOK)
	metrics.WriteJSONOnce(s.cfg.Metrics, c.Response())
	return nil
}
