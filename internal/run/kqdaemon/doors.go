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
type Doors struct {
	Names     kqproxy.HeaderNames // header fields on routes
	Ready     func(e *echo.Echo, ready func() bool)
	Control   func(e *echo.Echo, store kqcontrol.LocalStore, log *kqlog.Log)
	Directory func(e *echo.Echo, entries func(domain string, most int) ([]string, time.Duration))
}

// OwnDoors is the product's own interface.
func OwnDoors() *Doors {
	return &Doors{
		Names: kqproxy.DefaultHeaderNames, Ready: kqapi.RegisterReady, Directory: kqapi.RegisterDirectory,
		Control: func(e *echo.Echo, store kqcontrol.LocalStore, _ *kqlog.Log) { kqapi.RegisterTargets(e, store) },
	}
}
