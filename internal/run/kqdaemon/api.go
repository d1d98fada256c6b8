package kqdaemon

import (
	"time"

	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/route/kqapi"
	"kumquatglade/internal/state/kqcontrol"

	"github.com/labstack/echo/v4"
)

// ExternalAPI is the HTTP interface for callers, targets and operators of a cluster
// whose hosts discover each other through seeds.
type ExternalAPI struct {
	HeaderNames       kqproxy.HeaderNames // header fields of proxied requests
	RegisterReady     func(e *echo.Echo, ready func() bool)
	RegisterControl   func(e *echo.Echo, store kqcontrol.LocalStore, log *kqlog.Log)
	RegisterDirectory func(e *echo.Echo, entries func(domain string, most int) ([]string, time.Duration))
}

// NativeAPI returns the HTTP interface of this project.
func NativeAPI() *ExternalAPI {
	return &ExternalAPI{
		HeaderNames: kqproxy.DefaultHeaderNames, RegisterReady: kqapi.RegisterReady, RegisterDirectory: kqapi.RegisterDirectory,
		RegisterControl: func(e *echo.Echo, store kqcontrol.LocalStore, _ *kqlog.Log) { kqapi.RegisterTargets(e, store) },
	}
}
