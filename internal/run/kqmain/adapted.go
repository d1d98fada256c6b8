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

	// lookEvery is the time between two looks at a settings file that may
	// change without a signal.
	settingsPollInterval = 2 * time.Second
)

// runAdapted runs a host by the settings of the platform.
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
	return serve(d, stderr)
}

// watch takes changed seeds, after a signal or when the file has changed.
func watchSettings(path string, reload <-chan os.Signal, d *kqdaemon.Daemon, log *kqlog.Log) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	var last time.Time
	for {
		select {
		case <-reload:
			log.Infof("signal: reads %s again", path)
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
			log.Warnf("kept as they were: %v", err)
			continue
		}
		d.SetSeeds(s.Seeds)
	}
}
