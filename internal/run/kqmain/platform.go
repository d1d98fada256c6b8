package kqmain

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/host/kqsettings"
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
	watch := settingsWatch{path: path, load: platform.Load, set: d.SetSeeds, log: log.Component("settings")}
	go watch.run(reload)
	return serve(d, signals, stderr)
}

// settingsWatch applies the seeds of a settings file that changes.
type settingsWatch struct {
	path string
	load func(path string) (kqsettings.Settings, error)
	set  func(seeds []string)
	log  *kqlog.Log
	last time.Time // modification time of the file as applied last
}

// run loads the file after a signal and when it has changed.
func (w *settingsWatch) run(reload <-chan os.Signal) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-reload:
			w.log.Infof("signal: reloading %s", w.path)
			w.apply(true)
		case <-tick.C:
			w.apply(false)
		}
	}
}

// apply loads the file if it has changed since it was applied last, or in any case.
func (w *settingsWatch) apply(always bool) {
	info, err := os.Stat(w.path)
	if err != nil {
		w.log.Warnf("%v", err)
		return
	}
	if !always && info.ModTime().Equal(w.last) {
		return
	}
	s, err := w.load(w.path)
	if err != nil {
		w.log.Warnf("cannot load the settings, keeping the previous ones: %v", err)
		return
	}
	w.last = info.ModTime()
	w.set(s.Seeds)
}
