package kqmain

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/run/kqdaemon"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/platform"

	"github.com/labstack/echo/v4"
)

const (
	adapterPlatform = "platform"

	// settingsPollInterval is the time between two checks of the settings file,
	// which may change without a signal.
	settingsPollInterval = 2 * time.Second
)

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
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signals := notifyStop()
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
	go watchSettings(path, reload, d, log.Component("settings"))
	return serve(d, signals, stderr)
}

// watchSettings applies changed seeds after a signal or a change of the file.
func watchSettings(path string, reload <-chan os.Signal, d *kqdaemon.Daemon, log *kqlog.Log) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	var last time.Time
	for {
		select {
		case <-reload:
			log.Infof("signal: reloading %s", path)
		case <-tick.C:
			info, err := os.Stat(path)
			if err != nil {
				log.Warnf("%v", err)
				continue
			}
			if info.ModTime().Equal(last) {
				continue
			}
			last = info.ModTime()
		}
		s, err := platform.Load(path)
		if err != nil {
			log.Warnf("cannot load the settings, keeping the previous ones: %v", err)
			continue
		}
		d.SetSeeds(s.Seeds)
	}
}
