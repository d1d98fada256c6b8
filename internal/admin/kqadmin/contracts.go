package kqadmin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"

	"github.com/labstack/echo/v4"
)

// applied answers a change that was accepted.
type changeAnswer struct {
	kqcontract.Accepted
	Repeat  bool             `json:"repeat,omitempty"`
	InForce *kqcontrol.Reach `json:"inforce,omitempty"` // only if the operator waits
}

func (s *Server) putContract(c echo.Context) error {
	p, err := readDocument(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{Error: "malformed", Detail: err.Error()})
	}
	contract, err := kqcontract.Parse(p)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{Error: "malformed", Detail: err.Error()})
	}
	if contract.Owner != c.Param("owner") {
		return c.JSON(http.StatusBadRequest, errorBody{Error: "malformed", Detail: "the owner differs from the path"})
	}
	return s.submit(c, kqcontract.Command{Op: kqcontract.OpApply, Contract: &contract})
}

func readDocument(c echo.Context) ([]byte, error) {
	return io.ReadAll(io.LimitReader(c.Request().Body, kqcontract.MaxDocumentBytes+1))
}

func (s *Server) deleteContract(c echo.Context) error {
	version, err := strconv.ParseUint(c.QueryParam("version"), 10, 64)
	if err != nil || version == 0 {
		return c.JSON(http.StatusBadRequest, errorBody{Error: "malformed", Detail: "version: one more than the one in force"})
	}
	return s.submit(c, kqcontract.Command{Op: kqcontract.OpRemove, Owner: c.Param("owner"), Version: version})
}

func (s *Server) putHosts(c echo.Context) error {
	p, err := readDocument(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{Error: "malformed", Detail: err.Error()})
	}
	hosts, err := kqcontract.ParseHosts(p)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{Error: "malformed", Detail: err.Error()})
	}
	return s.submit(c, kqcontract.Command{Op: kqcontract.OpHosts, Hosts: &hosts})
}

// submit has the change decided and, if the operator waits, enforced.
func (s *Server) submit(c echo.Context, cmd kqcontract.Command) error {
	wait, err := waitParam(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{Error: "malformed", Detail: err.Error()})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	res, err := s.cfg.Store.Submit(ctx, cmd)
	if err != nil {
		return c.JSON(http.StatusGatewayTimeout, errorBody{Error: "unknown", Detail: err.Error(), Unknown: true})
	}
	if res.Refused != "" {
		return respondRefused(c, res)
	}
	out := changeAnswer{Accepted: res.Accepted, Repeat: res.Repeat}
	if wait > 0 {
		reach, err := s.cfg.Store.WaitInForce(c.Request().Context(), res.Accepted.Revision, wait)
		if err == nil {
			out.InForce = &reach
		}
	}
	return c.JSON(http.StatusOK, out)
}

func waitParam(c echo.Context) (time.Duration, error) {
	word := c.QueryParam("wait")
	if word == "" {
		return 0, nil
	}
	return time.ParseDuration(word)
}

func respondRefused(c echo.Context, res kqcontract.Result) error {
	f := errorBody{Error: res.Refused, NextVersion: res.NextVersion}
	status := http.StatusConflict
	switch res.Refused {
	case kqcontract.ReasonTaken:
		f.AcceptedChange = &res.Accepted
		f.Detail = "another content has this version"
	case kqcontract.ReasonGap:
		f.Detail = "the version must be one more than the last"
	case kqcontract.ReasonOld:
		f.Detail = "the version is older than the kept history"
	case kqcontract.ReasonUnknown:
		status = http.StatusNotFound
		f.Detail = "there is no such contract"
	}
	return c.JSON(status, f)
}

func (s *Server) read(c echo.Context, q kqcontrol.Query) (kqcontrol.Document, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	return s.cfg.Store.Read(ctx, q)
}

// unread answers a read that no quorum confirmed.
func respondUnconfirmed(c echo.Context, err error) error {
	return c.JSON(http.StatusServiceUnavailable, errorBody{Error: "unconfirmed", Detail: err.Error()})
}

func (s *Server) getContract(c echo.Context) error {
	owner := c.Param("owner")
	doc, err := s.read(c, kqcontrol.Query{Owner: owner})
	if err != nil {
		return respondUnconfirmed(c, err)
	}
	contract := doc.Contracts[owner]
	if contract == nil {
		return c.JSON(http.StatusNotFound, errorBody{Error: kqcontract.ReasonUnknown, Detail: "there is no such contract"})
	}
	return c.JSON(http.StatusOK, contract)
}

func (s *Server) listContracts(c echo.Context) error {
	doc, err := s.read(c, kqcontrol.Query{})
	if err != nil {
		return respondUnconfirmed(c, err)
	}
	return c.JSON(http.StatusOK, doc)
}

func (s *Server) history(c echo.Context) error {
	doc, err := s.read(c, kqcontrol.Query{Owner: c.QueryParam("owner"), History: true})
	if err != nil {
		return respondUnconfirmed(c, err)
	}
	return c.JSON(http.StatusOK, doc.History)
}

func (s *Server) getHosts(c echo.Context) error {
	doc, err := s.read(c, kqcontrol.Query{})
	if err != nil {
		return respondUnconfirmed(c, err)
	}
	return c.JSON(http.StatusOK, doc.Hosts)
}
