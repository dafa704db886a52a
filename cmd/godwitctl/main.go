// Command godwitctl is the operators' command-line client: it sends queries and commands, and exports and applies
// whole configurations.
package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"time"

	_ "net" // links the C library for name resolution

	"github.com/alecthomas/kong"
)

// cli defines the flags and subcommands.
type cli struct {
	Server    string        `help:"Operators' listener of any entry VM." env:"GODWITCTL_SERVER" default:"http://127.0.0.1:7701" short:"s"`
	Token     string        `help:"Operators' token." env:"GODWITCTL_TOKEN"`
	TokenFile string        `help:"File that holds the operators' token." env:"GODWITCTL_TOKEN_FILE" type:"path"`
	CA        string        `help:"PEM file with the authorities of the server's certificate." env:"GODWITCTL_CA" type:"path"`
	Output    string        `help:"Form of the output: ${enum}." enum:"table,json" default:"table" short:"o"`
	Timeout   time.Duration `help:"Longest wait for an answer." default:"30s"`
	DryRun    bool          `help:"Show what a command or apply would change, and change nothing."`

	Statement   statementCommand   `cmd:"" default:"withargs" help:"Ask a query or give a command (the default)."`
	Apply       applyCommand       `cmd:"" help:"Replace the whole configuration by a YAML file."`
	Export      exportCommand      `cmd:"" help:"Print the configuration in force as YAML."`
	Interactive interactiveCommand `cmd:"" help:"Read statements line by line."`
	HashKey     hashKeyCommand     `cmd:"" help:"Print the digest of an API key or token read from standard input."`
	Help        helpCommand        `cmd:"" help:"List the statements, tables and fields."`
}

// environment holds the inputs and outputs of one invocation, so that tests can replace them.
type environment struct {
	ctx            context.Context
	stdin          io.Reader
	stdout, stderr io.Writer
	// transport replaces the connection to the server; if nil, the server is dialed.
	transport http.RoundTripper
}

// session gives the subcommands the environment and the parsed flags.
type session struct {
	environment
	cli *cli
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(environment{ctx: ctx, stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(code)
}

// run executes one invocation and returns its exit code.
func run(env environment, args []string) int {
	var flags cli
	kongExitCode := -1
	parser, err := kong.New(&flags,
		kong.Name("godwitctl"),
		kong.Description("Queries and controls a godwitcart system.\n\n"+exitCodeHelp),
		kong.Writers(env.stdout, env.stderr),
		kong.Exit(func(code int) { kongExitCode = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		return reportError(env.stderr, err)
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	parsed, err := parser.Parse(args)
	if kongExitCode >= 0 {
		return kongExitCode
	}
	if err != nil {
		return reportError(env.stderr, usageError(err))
	}
	return reportError(env.stderr, parsed.Run(&session{environment: env, cli: &flags}))
}
