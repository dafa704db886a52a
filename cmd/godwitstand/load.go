package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/stand/load"
)

type loadCommand struct {
	Entries       []string      `required:"" help:"Base URLs of the entry VMs."`
	Ready         []string      `help:"URLs of their readiness checks, in the same order."`
	Keys          []string      `required:"" help:"API keys of client accounts."`
	Model         string        `help:"Model of generations."`
	Classes       []string      `help:"Priority classes; none leaves it to the account."`
	Services      []string      `help:"Plain services."`
	Rate          float64       `default:"20" help:"Requests a second."`
	Seconds       float64       `default:"10" help:"How long requests start."`
	Seed          uint64        `default:"1" help:"Seed of the plan."`
	Stream        float64       `default:"6" help:"Weight of streamed generations."`
	Whole         float64       `default:"2" help:"Weight of whole generations."`
	Plain         float64       `default:"2" help:"Weight of plain calls."`
	NonIdempotent float64       `default:"0.2" help:"Share of requests that may run at most once."`
	Duplicated    float64       `default:"0.3" help:"Share of those that are sent twice at once."`
	Stagger       time.Duration `default:"0s" help:"How much later the second copy may be sent."`
	Leaving       float64       `default:"0" help:"Share of streams whose caller leaves in the middle."`
	MedianTokens  float64       `default:"64" help:"Median of the output length."`
	Sigma         float64       `default:"1.2" help:"Spread of the logarithm of the output length."`
	MaxTokens     int           `default:"4096" help:"Longest output."`
	PromptBytes   int           `default:"256" help:"Length of prompts."`
	Deadline      time.Duration `default:"60s" help:"Deadline of a request."`
	Grace         time.Duration `default:"2s" help:"How long a caller waits past its deadline to be told of it."`
	Silence       time.Duration `default:"10s" help:"Time without a byte after which a caller tries elsewhere."`
}

// Run sends the load and prints a load.Summary as one JSON line.
func (c *loadCommand) Run(ctx context.Context) error {
	if err := c.validate(); err != nil {
		return err
	}
	records := load.Run(ctx, load.Options{
		EntryURLs: c.Entries, ReadyURLs: c.Ready, Keys: c.Keys, Model: c.Model, Classes: c.Classes, Services: c.Services,
		Rate: c.Rate, Duration: time.Duration(c.Seconds * float64(time.Second)), Seed: c.Seed,
		Mix:                load.Mix{Stream: c.Stream, Whole: c.Whole, Plain: c.Plain},
		NonIdempotentShare: c.NonIdempotent, DuplicateShare: c.Duplicated, MaxStagger: c.Stagger, DisconnectShare: c.Leaving,
		MedianTokens: c.MedianTokens, Sigma: c.Sigma, MaxTokens: c.MaxTokens, PromptBytes: c.PromptBytes,
		Deadline: c.Deadline, DeadlineGrace: c.Grace, IdleTimeout: c.Silence,
	})
	return json.NewEncoder(os.Stdout).Encode(load.Summarize(records))
}

func (c *loadCommand) validate() error {
	switch {
	case c.Rate <= 0 || c.Seconds <= 0:
		return errors.New("--rate and --seconds must be above zero")
	case c.Stream < 0 || c.Whole < 0 || c.Plain < 0 || c.Stream+c.Whole+c.Plain <= 0:
		return errors.New("--stream, --whole and --plain are weights: none may be negative, and one must be above zero")
	case c.Model == "" && c.Stream+c.Whole > 0:
		return errors.New("--model is missing; set it, or --stream 0 --whole 0")
	case len(c.Services) == 0 && c.Plain > 0:
		return errors.New("--services is missing; set it, or --plain 0")
	case len(c.Ready) > 0 && len(c.Ready) != len(c.Entries):
		return errors.New("--ready must list as many URLs as --entries")
	default:
		return nil
	}
}
