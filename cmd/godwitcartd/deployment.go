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

// settingsPollInterval is how often the settings file is checked for changes; it may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// firstStartVariable is the environment variable that is "true" where the platform starts the whole fleet for the first time;
// it stands for the setting first_start.
const firstStartVariable = "GODWITCART_FIRST_START"

// runDeployment loads the settings of a deployment and forwards requests until a graceful shutdown is complete, or
// until a second SIGTERM or SIGINT stops it immediately. SIGHUP reloads the settings.
func runDeployment(args *arguments) error {
	loaded, err := settings.LoadDeployment(args.Settings)
	if err != nil {
		return err
	}
	if args.CheckSettings {
		fmt.Println("godwitcartd: settings are valid:", args.Settings)
		return nil
	}
	loaded.FirstStart = loaded.FirstStart || os.Getenv(firstStartVariable) == "true"
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	logger := newLogger(sink, loaded.Log).With("vm", loaded.VM.Name)
	e := entry.New(loaded, logger)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reloader := &reloader{path: args.Settings, entry: e, logger: logger}
	reloader.detectChange()
	go reloader.run(ctx)
	go handleDeploymentSignals(e, signals, reloader, logger, cancel)
	logger.Info("started", "zone", loaded.VM.Zone, "callers", loaded.Callers.Listen, "platform", loaded.Platform.Address, "pid", os.Getpid())
	err = e.Run(ctx)
	logger.Info("stopped", "error", err)
	return err
}

func handleDeploymentSignals(e *entry.Entry, signals <-chan os.Signal, reloader *reloader, logger *log.Logger, cancel func()) {
	shuttingDown := false
	for received := range signals {
		switch {
		case received == syscall.SIGHUP:
			reloader.reload("signal")
		case !shuttingDown:
			shuttingDown = true
			logger.Info("graceful shutdown begins", "signal", received.String(), "in_progress", e.Active())
			e.Shutdown()
		default:
			logger.Warn("second signal received; ending at once without waiting for requests", "cut_off", e.Active())
			cancel()
		}
	}
}

// reloader reloads the settings file when it has changed or on request. Invalid settings are not applied.
type reloader struct {
	path    string
	entry   *entry.Entry
	logger  *log.Logger
	modTime time.Time
	size    int64
}

func (r *reloader) run(ctx context.Context) {
	for pause.For(ctx, settingsPollInterval) {
		if r.detectChange() {
			r.reload("file changed")
		}
	}
}

// detectChange reports whether the size or modification time of the file differs from that of the last call.
func (r *reloader) detectChange() bool {
	info, err := os.Stat(r.path)
	if err != nil {
		r.logger.Warn("cannot check the settings file for changes; trying again at the next check", "path", r.path, "error", err)
		return false
	}
	changed := !info.ModTime().Equal(r.modTime) || info.Size() != r.size
	r.modTime, r.size = info.ModTime(), info.Size()
	return changed
}

func (r *reloader) reload(reason string) {
	loaded, err := settings.LoadDeployment(r.path)
	if err != nil {
		r.logger.Error("settings not reloaded; the previous settings stay in force", "reason", reason, "error", err)
		return
	}
	r.entry.Reload(loaded)
}
