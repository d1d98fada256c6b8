package kqadmin

import (
	"net/http"

	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqroutes"

	"github.com/labstack/echo/v4"
)

// owners lists the owners of the routes in force, with their usage if this host serves
// callers, and without keys.
func (s *Server) owners(c echo.Context) error {
	if s.cfg.Owners != nil {
		return c.JSON(http.StatusOK, s.cfg.Owners())
	}
	doc, err := s.read(c, kqcontrol.Query{Routes: true})
	if err != nil {
		return respondUnconfirmed(c, err)
	}
	if doc.Routes == nil {
		return c.JSON(http.StatusOK, kqproxy.ListOwners(&kqroutes.Document{}))
	}
	return c.JSON(http.StatusOK, kqproxy.ListOwners(&doc.Routes.Document))
}
