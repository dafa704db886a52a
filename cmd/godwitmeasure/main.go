// Command godwitmeasure compares the scheduling policy of godwitcart with reference policies in a simulation.
// It prints one JSON line per policy and can draw a plot.
package main

import (
	"encoding/json"
	"os"
	"slices"
	"sync"

	"github.com/alecthomas/kong"

	"godwitcart/internal/measure"
)

type arguments struct {
	Seed       uint64   `help:"Seed of the work; the same seed gives the same lines." default:"1"`
	Deployment string   `help:"Fleet and work: prairie, derwent or large." default:"prairie"`
	Load       float64  `help:"Steady load as a share of the fleet's token capacity; zero means the run with bursts, a flood and a lost target."`
	Policies   []string `help:"Policies to run; all when omitted."`
	Plot       string   `help:"File for the plot, ending in .svg or .png."`
}

func main() {
	var args arguments
	parser := kong.Parse(&args, kong.Name("godwitmeasure"), kong.Description("Measures the scheduling decisions of godwitcart in virtual time."))
	parser.FatalIfErrorf(run(&args))
}

func run(args *arguments) error {
	deployment, err := measure.NewDeployment(args.Deployment, args.Load)
	if err != nil {
		return err
	}
	names := args.Policies
	if len(names) == 0 {
		names = measure.Policies()
	}
	results, err := runAll(deployment, names, args.Seed)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			return err
		}
	}
	if args.Plot == "" {
		return nil
	}
	return measure.Plot(results, args.Plot)
}

// runAll runs up to two policies concurrently. Runs share no state, so the results do not depend on their order.
func runAll(deployment measure.Deployment, names []string, seed uint64) ([]measure.Result, error) {
	results := make([]measure.Result, len(names))
	failures := make([]error, len(names))
	slots := make(chan struct{}, 2)
	var group sync.WaitGroup
	for i, name := range names {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i], failures[i] = measure.Run(deployment, name, seed)
		})
	}
	group.Wait()
	if index := slices.IndexFunc(failures, func(err error) bool { return err != nil }); index >= 0 {
		return nil, failures[index]
	}
	return results, nil
}
