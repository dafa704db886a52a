// Command godwitcartd is the daemon that runs on every entry VM.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"

	"godwitcart/internal/apierror"
	"godwitcart/internal/daemon"
	"godwitcart/internal/settings"
)

// arguments are the command-line flags. Without --deployment, LogLevel and those after it override the settings file;
// with it, they are ignored.
type arguments struct {
	Settings      string `help:"Settings file." required:"" type:"existingfile" env:"GODWITCART_SETTINGS,GODWITCART_NODE_FILE"`
	Deployment    bool   `help:"Forward requests in a deployment whose platform keeps the configuration."`
	CheckSettings bool   `help:"Check the settings file and exit."`
	LogLevel      string `help:"Log level: debug, info, warn or error." env:"GODWITCART_LOG_LEVEL"`
	LogFormat     string `help:"Log format: text or json." env:"GODWITCART_LOG_FORMAT"`
	Listen        string `help:"host:port for callers." env:"GODWITCART_LISTEN"`
	AdminListen   string `help:"host:port for operators." env:"GODWITCART_ADMIN_LISTEN"`
	PeerListen    string `help:"host:port for the other entry VMs." env:"GODWITCART_PEER_LISTEN"`
	Platform      string `help:"Base URL of the platform." env:"GODWITCART_PLATFORM"`
	Seed          string `help:"YAML file with the configuration that a new system starts with." env:"GODWITCART_SEED"`
}

// gcPercent starts a garbage collection when the heap has grown by half. Entry VMs have little memory, and most of it
// is needed for streams. The environment variable GOGC overrides the value.
const gcPercent = 50

// exitUsage is the exit code for invalid settings and, with --deployment, for any other error.
const exitUsage = 2

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("godwitcartd"), kong.Description("Serves callers on one entry VM."))
	if args.Deployment {
		if err := runDeployment(&args); err != nil {
			fmt.Fprintln(os.Stderr, "godwitcartd:", err)
			os.Exit(exitUsage)
		}
		return
	}
	loaded, err := load(&args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "godwitcartd:", err)
		os.Exit(exitUsage)
	}
	if args.CheckSettings {
		fmt.Println("godwitcartd: settings are valid:", args.Settings)
		return
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	logger := newLogger(os.Stderr, loaded.Log)
	if err := run(loaded, logger); err != nil {
		logger.Error("stopped", "error", err)
		os.Exit(1)
	}
}

func load(args *arguments) (*settings.Settings, error) {
	loaded, err := settings.Load(args.Settings)
	if err != nil {
		return nil, err
	}
	override(&loaded.Log.Level, args.LogLevel)
	override(&loaded.Log.Format, args.LogFormat)
	override(&loaded.Callers.Listen, args.Listen)
	override(&loaded.Operators.Listen, args.AdminListen)
	override(&loaded.Peers.Listen, args.PeerListen)
	override(&loaded.Platform.URL, args.Platform)
	override(&loaded.ConfigurationSeed, args.Seed)
	if problems := settings.Check(loaded); len(problems) > 0 {
		return nil, apierror.New(apierror.KindBadRequest, "invalid value on the command line: "+problems[0].Key+": "+problems[0].Message, problems[0].Remedy)
	}
	return loaded, nil
}

func override(setting *string, argument string) {
	if argument != "" {
		*setting = argument
	}
}

func newLogger(out io.Writer, options settings.Log) *log.Logger {
	logger := log.NewWithOptions(out, log.Options{ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00"})
	if options.Format == "json" {
		logger.SetFormatter(log.JSONFormatter)
	}
	if level, err := log.ParseLevel(options.Level); err == nil {
		logger.SetLevel(level)
	}
	return logger
}

// run serves until the graceful shutdown that the first SIGTERM or SIGINT starts is complete, or until a second one
// stops it immediately. SIGUSR1 writes a state dump to standard error.
func run(loaded *settings.Settings, logger *log.Logger) error {
	d, err := daemon.New(loaded, logger)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go handleSignals(d, signals, logger, cancel)
	return d.Run(ctx)
}

func handleSignals(d *daemon.Daemon, signals <-chan os.Signal, logger *log.Logger, cancel func()) {
	shuttingDown := false
	for received := range signals {
		switch {
		case received == syscall.SIGUSR1:
			if err := d.DumpState(os.Stderr); err != nil {
				logger.Warn("state dump failed", "error", err)
			}
		case !shuttingDown:
			shuttingDown = true
			logger.Info("graceful shutdown begins", "signal", received.String(), "in_progress", d.Active())
			d.Shutdown()
		default:
			logger.Warn("second signal received; ending at once without waiting for requests", "cut_off", d.Active())
			cancel()
		}
	}
}
