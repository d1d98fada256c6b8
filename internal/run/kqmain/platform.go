package kqmain

import (
	"fmt"
	"io"

	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/run/kqdaemon"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/platform"

	"github.com/labstack/echo/v4"
)

const adapterPlatform = "platform"

// runPlatform runs a host with the settings and HTTP interface of the platform.
func runPlatform(path string, stderr io.Writer) int {
	if path == "" {
		path = platform.SettingsPath()
	}
	s, err := platform.Load(path)
	if err != nil {
		fmt.Fprintln(stderr, "kumquatd:", err)
		return exitUsage
	}
	reload, signals := notifyReload(), notifyStop()
	log, d, err := start(s, kqdaemon.Options{API: &kqdaemon.ExternalAPI{
		HeaderNames: platform.HeaderNames, RegisterReady: platform.RegisterReady, RegisterDirectory: platform.RegisterDirectory,
		RegisterControl: func(e *echo.Echo, store kqcontrol.LocalStore, log *kqlog.Log) {
			platform.RegisterControl(e, store, log)
		},
	}})
	if err != nil {
		fmt.Fprintln(stderr, "kumquatd:", err)
		delayFatalExit()
		return exitFatal
	}
	defer log.Flush()
	go newSettingsWatch(path, platform.Load, d, log).run(reload)
	return serve(d, signals, stderr)
}
