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

// watchSettings applies changed seeds after a signal or a change of the file.
func watchSettings(path string, load func(path string) (kqsettings.Settings, error), reload <-chan os.Signal, d *kqdaemon.Daemon, log *kqlog.Log) {
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
		s, err := load(path)
		if err != nil {
			log.Warnf("cannot load the settings, keeping the previous ones: %v", err)
			continue
		}
		if len(s.Seeds) > 0 {
			d.SetSeeds(s.Seeds)
		}
	}
}
