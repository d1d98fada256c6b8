package kqadmin

import (
	"context"
	"io"
	"net/http"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqroutes"

	"github.com/labstack/echo/v4"
)

// routesAnswer is the answer to routes that an operator put.
type routesAnswer struct {
	Version uint64 `json:"version"` // in force now
	Hash    string `json:"hash"`
	Taken   bool   `json:"taken"` // false: a version as high or higher was in force
}

func (s *Server) putRoutes(c echo.Context) error {
	p, err := io.ReadAll(io.LimitReader(c.Request().Body, kqroutes.MaxDocument+1))
	if err != nil || len(p) > kqroutes.MaxDocument {
		return c.JSON(http.StatusBadRequest, errorBody{Error: "malformed", Detail: "the document is too large or cut off"})
	}
	doc, err := kqroutes.Parse(p)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{Error: "malformed", Detail: err.Error()})
	}
	proposal := &kqroutes.Proposal{Document: *doc, Source: p}
	ctx, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	res, err := s.cfg.Store.Submit(ctx, kqcontract.Command{Op: kqcontract.OpRoutes, Routes: proposal})
	if err != nil {
		return c.JSON(http.StatusGatewayTimeout, errorBody{Error: "unknown", Detail: err.Error(), Unknown: true})
	}
	if res.Refused != "" {
		return respondRefused(c, res)
	}
	return c.JSON(http.StatusOK, routesAnswer{Version: res.Accepted.Version, Hash: res.Accepted.Hash, Taken: !res.Repeat})
}

func (s *Server) getRoutes(c echo.Context) error {
	doc, err := s.read(c, kqcontrol.Query{Routes: true})
	if err != nil {
		return respondUnconfirmed(c, err)
	}
	if doc.Routes == nil {
		return c.JSON(http.StatusNotFound, errorBody{Error: kqcontract.ReasonUnknown, Detail: "there are no routes yet"})
	}
	return c.JSONBlob(http.StatusOK, doc.Routes.Source)
}

func (s *Server) routesHistory(c echo.Context) error {
	doc, err := s.read(c, kqcontrol.Query{RouteLog: true})
	if err != nil {
		return respondUnconfirmed(c, err)
	}
	return c.JSON(http.StatusOK, doc.RouteLog)
}
