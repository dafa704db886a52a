// Command godwitstand runs stand-ins for the systems around godwitcart: the platform, model engines, plain services and
// callers. They serve tests, demos and measurements.
package main

import (
	"context"
	_ "net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"
)

// commandLine lists the stand-ins, one subcommand each.
type commandLine struct {
	Platform   platformCommand   `cmd:"" help:"Run the platform: object API, list of VMs, weight store."`
	Engine     engineCommand     `cmd:"" help:"Run a model engine."`
	Service    serviceCommand    `cmd:"" help:"Run a plain service."`
	Load       loadCommand       `cmd:"" help:"Send the load of many callers and print a summary."`
	Deployment deploymentCommand `cmd:"" help:"Run the users' platform with engines and plain services, for godwitcartd --deployment."`
	Soak       soakCommand       `cmd:"" help:"Run godwitcartd --deployment and the stand-ins under random faults and judge what callers and targets see."`
	Failures   failuresCommand   `cmd:"" help:"Run godwitcartd and the stand-ins under faults and judge the answers."`
}

// listeners are the listening addresses of a stand-in.
type listeners struct {
	Listen  string `default:"127.0.0.1:0" help:"Host and port for traffic."`
	Control string `default:"127.0.0.1:0" help:"Host and port for control calls."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	// Restore the default signal handling, so that a second signal ends the process immediately.
	context.AfterFunc(ctx, stop)
	parsed := kong.Parse(&commandLine{}, kong.Name("godwitstand"), kong.UsageOnError(),
		kong.Description("Stand-ins for the systems around godwitcart."))
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		log.Error("stopped", "error", err)
		os.Exit(1)
	}
}
