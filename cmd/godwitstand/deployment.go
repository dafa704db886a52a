package main

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	"godwitcart/internal/stand/standhttp"
	"godwitcart/platform/platformtest"
)

// deploymentCommand runs the platform and the targets that godwitcartd --deployment connects to.
type deploymentCommand struct {
	listeners
	Zone     string            `default:"regina-a" help:"Availability zone of the targets."`
	Engines  map[string]string `name:"engine" help:"Model engines: ID=host:port."`
	Services map[string]string `name:"service" help:"Targets of the plain service: ID=host:port."`
	Keys     []string          `name:"key" help:"API keys of the one client account."`
}

// Run serves until ctx ends.
func (c *deploymentCommand) Run(ctx context.Context) error {
	standIn := platformtest.NewDeployment()
	standIn.Configure(1, c.Keys...)
	group, ctx := errgroup.WithContext(ctx)
	for service, targets := range map[string]map[string]string{platformtest.EngineService: c.Engines, platformtest.PlainService: c.Services} {
		for id, address := range targets {
			target := standIn.Add(id, address, service, c.Zone)
			group.Go(func() error { return serve(ctx, address, target) })
		}
	}
	group.Go(func() error {
		return standhttp.Program{
			Name: "deployment", Listen: c.Listen, Control: c.Control, TrafficHandler: standIn.Store, ControlHandler: standIn.ControlHandler(),
		}.Run(ctx)
	})
	return group.Wait()
}

// serve listens on the address until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
