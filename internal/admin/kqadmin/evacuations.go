package kqadmin

import (
	"context"
	"net/http"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
)

// evacuate starts or ends the evacuation of a failure domain.
func (s *Server) evacuate(c echo.Context, on bool) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	entry, err := s.cfg.Store.Evacuate(ctx, c.Param("domain"), on)
	switch {
	case errors.Is(err, kqcontract.ErrUnknownDomain):
		return c.JSON(http.StatusBadRequest, errorBody{Error: "domain", Detail: err.Error()})
	case err != nil:
		return c.JSON(http.StatusGatewayTimeout, errorBody{Error: "unknown", Detail: err.Error(), Unknown: true})
	}
	return c.JSON(http.StatusOK, entry)
}

func (s *Server) listEvacuations(c echo.Context) error {
	doc, err := s.read(c, kqcontrol.Query{Evacuations: true})
	if err != nil {
		return respondUnconfirmed(c, err)
	}
	if doc.Evacuations == nil {
		doc.Evacuations = []kqcontract.Evacuation{}
	}
	return c.JSON(http.StatusOK, doc.Evacuations)
}
