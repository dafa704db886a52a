package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"godwitcart/internal/entry"
	"godwitcart/internal/logsink"
	"godwitcart/internal/pause"
	"godwitcart/internal/settings"
)

// settingsCheck is the time between two looks at the settings file, which may change without a signal.
const settingsCheck = 2 * time.Second

// runDeployment forwards requests until a graceful shutdown is complete.
func runDeployment(args *arguments) error {
	loaded, err := settings.LoadDeployment(args.Settings)
	if err != nil {
		return err
	}
	if args.CheckSettings {
		fmt.Println("godwitcartd: settings are valid:", args.Settings)
		return nil
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	logger := newLogger(sink, loaded.Log).With("vm", loaded.VM.Name)
	e := entry.New(loaded, logger)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	stop, stopNow := context.WithCancel(context.Background())
	defer stopNow()
	reloader := &reloader{path: args.Settings, entry: e, logger: logger}
	reloader.look()
	go reloader.run(stop)
	go followSignals(e, signals, reloader, logger, stopNow)
	logger.Info("started", "zone", loaded.VM.Zone, "callers", loaded.Callers.Listen, "platform", loaded.Platform.Address, "pid", os.Getpid())
	err = e.Run(stop)
	logger.Info("stopped", "error", err)
	return err
}

func followSignals(e *entry.Entry, signals <-chan os.Signal, reloader *reloader, logger *log.Logger, stopNow func()) {
	stopping := false
	for received := range signals {
		switch {
		case received == syscall.SIGHUP:
			reloader.reload("signal")
		case !stopping:
			stopping = true
			logger.Info("graceful shutdown begins", "signal", received.String(), "in_progress", e.Active())
			e.Shutdown()
		default:
			logger.Warn("second signal: ending at once", "cut_off", e.Active())
			stopNow()
		}
	}
}

// reloader reads the settings file again when it has changed.
type reloader struct {
	path    string
	entry   *entry.Entry
	logger  *log.Logger
	changed time.Time
	size    int64
}

func (r *reloader) run(ctx context.Context) {
	for pause.For(ctx, settingsCheck) {
		if r.look() {
			r.reload("file changed")
		}
	}
}

// look reports whether the file has changed since the last look.
func (r *reloader) look() bool {
	info, err := os.Stat(r.path)
	if err != nil {
		r.logger.Warn("settings file cannot be looked at", "path", r.path, "error", err)
		return false
	}
	changed := !info.ModTime().Equal(r.changed) || info.Size() != r.size
	r.changed, r.size = info.ModTime(), info.Size()
	return changed
}

func (r *reloader) reload(reason string) {
	loaded, err := settings.LoadDeployment(r.path)
	if err != nil {
		r.logger.Error("settings not reloaded; those before stay in force", "reason", reason, "error", err)
		return
	}
	r.entry.Reload(loaded)
}
