package kqmain

import (
	"os"
	"time"

	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/run/kqdaemon"
)

// settingsPollInterval is the time between two checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// settingsWatch applies the seeds of a settings file that changes.
type settingsWatch struct {
	path string
	load func(path string) (kqsettings.Settings, error)
	set  func(seeds []string)
	log  *kqlog.Log
	last time.Time // modification time of the file as applied last
}

func newSettingsWatch(path string, load func(path string) (kqsettings.Settings, error), d *kqdaemon.Daemon, log *kqlog.Log) *settingsWatch {
	return &settingsWatch{path: path, load: load, set: d.SetSeeds, log: log.Component("settings")}
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
	if len(s.Seeds) > 0 { // a host may name all control hosts instead
		w.set(s.Seeds)
	}
}
