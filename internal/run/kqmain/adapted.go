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
	lookEvery = 2 * time.Second
)

// runAdapted runs a host by the settings of the platform.
func runAdapted(path string, stderr io.Writer) int {
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
	log, d, err := start(s, kqdaemon.Options{Doors: &kqdaemon.Doors{
		Names: platform.HeaderNames, Ready: platform.RegisterReady, Directory: platform.RegisterDirectory,
		Control: func(e *echo.Echo, store kqcontrol.Local, log *kqlog.Log) {
			platform.RegisterControl(e, store, log)
		},
	}})
	if err != nil {
		fmt.Fprintln(stderr, "kumquatd:", err)
		restBeforeEnd()
		return exitFatal
	}
	defer log.Flush()
	go watch(path, reload, d, log.Component("settings"))
	return serve(d, stderr)
}

// watch takes changed seeds, after a signal or when the file has changed.
func watch(path string, reload <-chan os.Signal, d *kqdaemon.Daemon, log *kqlog.Log) {
	tick := time.NewTicker(lookEvery)
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
