package kqdaemon

import (
	"time"

	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/route/kqapi"
	"kumquatglade/internal/state/kqcontrol"

	"github.com/labstack/echo/v4"
)

// Doors is how callers, targets and operators speak to a system whose hosts
// find each other by seeds.
type ExternalAPI struct {
	HeaderNames       kqproxy.HeaderNames // header fields on routes
	RegisterReady     func(e *echo.Echo, ready func() bool)
	RegisterControl   func(e *echo.Echo, store kqcontrol.LocalStore, log *kqlog.Log)
	RegisterDirectory func(e *echo.Echo, entries func(domain string, most int) ([]string, time.Duration))
}

// OwnDoors is the product's own interface.
func NativeAPI() *ExternalAPI {
	return &ExternalAPI{
		HeaderNames: kqproxy.DefaultHeaderNames, RegisterReady: kqapi.RegisterReady, RegisterDirectory: kqapi.RegisterDirectory,
		RegisterControl: func(e *echo.Echo, store kqcontrol.LocalStore, _ *kqlog.Log) { kqapi.RegisterTargets(e, store) },
	}
}
