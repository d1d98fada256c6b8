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

	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	exitDone  = 0
	exitFatal = 1
	exitUsage = 2
)

// Run parses args and runs the daemon until it is stopped; it returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var path, file, adapter string
	p := flaggy.NewParser("kumquatd")
	p.Description = "one host of kumquatglade: entry, control, or both"
	p.ShowCompletion = false
	p.DisableShowVersionWithVersion()
	p.String(&path, "", "settings", "settings file")
	p.String(&adapter, "", "adapter", "whose settings and calls: \"platform\", or the project's own")
	check := flaggy.NewSubcommand("check")
	check.Description = "validate a settings file and exit"
	check.AddPositionalValue(&file, "file", 1, true, "settings file")
	p.AttachSubcommand(check, 1)
	dev := flaggy.NewSubcommand("dev")
	dev.Description = "run one host with a sample target on loopback"
	p.AttachSubcommand(dev, 1)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, "kumquatd:", err)
		return exitUsage
	}
	switch {
	case check.Used:
		return checkFile(file, stdout, stderr)
	case dev.Used:
		return runDev(stdout, stderr)
	case adapter != "" && adapter != adapterPlatform:
		fmt.Fprintf(stderr, "kumquatd: --adapter %q: allowed: %s\n", adapter, adapterPlatform)
		return exitUsage
	case adapter != "":
		return runPlatform(path, stderr)
	case path == "":
		fmt.Fprintln(stderr, "kumquatd: --settings FILE is required")
		return exitUsage
	}
	return runFile(path, stderr)
}

func checkFile(path string, stdout, stderr io.Writer) int {
	s, err := kqsettings.Load(path)
	if err != nil {
		fmt.Fprintln(stderr, "kumquatd:", err)
		return exitUsage
	}
	fmt.Fprintf(stdout, "%s: host %s is valid\n", path, s.Host)
	return exitDone
}

func runFile(path string, stderr io.Writer) int {
	s, err := kqsettings.Load(path)
	if err != nil {
		fmt.Fprintln(stderr, "kumquatd:", err)
		return exitUsage
	}
	reload, signals := notifyReload(), notifyStop()
	log, d, err := start(s, kqdaemon.Options{})
	if err != nil {
		fmt.Fprintln(stderr, "kumquatd:", err)
		return exitFatal
	}
	defer log.Flush()
	go newSettingsWatch(path, kqsettings.Load, d, log).run(reload)
	return serve(d, signals, stderr)
}

func start(s kqsettings.Settings, opts kqdaemon.Options) (*kqlog.Log, *kqdaemon.Daemon, error) {
	log, err := kqlog.Open(s.Name(), s.Log.Level, s.Log.Path)
	if err != nil {
		return nil, nil, err
	}
	d, err := kqdaemon.StartWith(s, log.Component("daemon"), opts)
	if err != nil {
		log.Errorf("cannot start: %v", err)
		log.Flush()
	}
	return log, d, err
}

// fatalExitDelay limits how often a process with an unwritable disk is restarted;
// its peers work without it meanwhile.
const fatalExitDelay = 3 * time.Second

func delayFatalExit() { time.Sleep(fatalExitDelay) }

// notifyReload returns the channel of the signal that announces changed settings, which
// would otherwise end the process.
func notifyReload() <-chan os.Signal {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return reload
}

// notifyStop returns the channel of the signals that stop the process. A process that
// serves without it would be ended at once, with requests in progress. A reader of the
// log that goes away must not end it either.
func notifyStop() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	return signals
}

// serve runs until a signal or a fatal error; a second signal expedites the shutdown. A
// failed disk ends the control role only, so callers get their responses then too.
func serve(d *kqdaemon.Daemon, signals <-chan os.Signal, stderr io.Writer) int {
	expedite := make(chan struct{})
	select {
	case err := <-d.Fatal():
		fmt.Fprintln(stderr, "kumquatd:", err)
		close(expedite)
		d.Stop(expedite)
		delayFatalExit()
		return exitFatal
	case <-signals:
	}
	go func() {
		<-signals
		close(expedite)
	}()
	d.Stop(expedite)
	return exitDone
}
