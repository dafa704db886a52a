package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"godwitcart/internal/admin"
	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
	"godwitcart/internal/policy"
)

// statementCommand runs one statement, a query or a command.
type statementCommand struct {
	Text []string `arg:"" help:"The statement; quote it as a whole."`
}

// Run implements the subcommand.
func (c *statementCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	return s.runStatement(client, strings.Join(c.Text, " "))
}

// runStatement parses a statement, sends it to the server and prints the result.
func (s *session) runStatement(client *admin.Client, text string) error {
	statement, err := language.Parse(text)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.cli.Timeout)
	defer cancel()
	if statement.Query != nil {
		answer, err := client.Query(ctx, statement.String())
		if err != nil {
			return err
		}
		s.warnTruncated(answer, statement.Query)
		return s.printAnswer(answer)
	}
	result, err := client.Command(ctx, statement.String(), s.cli.DryRun)
	if err != nil {
		return err
	}
	return s.printResult(result)
}

// applyCommand replaces the whole configuration.
type applyCommand struct {
	File string `arg:"" help:"YAML file with the configuration; - reads standard input."`
}

// Run implements the subcommand.
func (c *applyCommand) Run(s *session) error {
	text, err := s.readInput(c.File)
	if err != nil {
		return err
	}
	if _, err := policy.Parse(text); err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.cli.Timeout)
	defer cancel()
	result, err := client.Apply(ctx, text, s.cli.DryRun)
	if err != nil {
		return err
	}
	return s.printResult(result)
}

func (s *session) readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(s.stdin)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.KindBadRequest, "cannot read the file", "name a file that can be read")
	}
	return text, nil
}

// exportCommand prints the configuration in force.
type exportCommand struct{}

// Run implements the subcommand.
func (c *exportCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.cli.Timeout)
	defer cancel()
	text, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	_, err = s.stdout.Write(text)
	return err
}

// hashKeyCommand prints the digest of a key. It reads the key from standard input, so that the key need not be
// written to a file or a command line.
type hashKeyCommand struct{}

// Run implements the subcommand.
func (c *hashKeyCommand) Run(s *session) error {
	text, err := io.ReadAll(s.stdin)
	if err != nil {
		return err
	}
	key := strings.TrimRight(string(text), "\r\n")
	if key == "" {
		return apierror.New(apierror.KindBadRequest, "the key is empty", "write it to standard input")
	}
	_, err = fmt.Fprintln(s.stdout, policy.HashKey(key))
	return err
}

// client returns a client for the server and token that the flags name.
func (s *session) client() (*admin.Client, error) {
	token := s.cli.Token
	if s.cli.TokenFile != "" {
		text, err := os.ReadFile(s.cli.TokenFile)
		if err != nil {
			return nil, apierror.Wrap(err, apierror.KindBadRequest, "cannot read the token file", "name a file that can be read")
		}
		token = strings.TrimSpace(string(text))
	}
	transport, err := s.roundTripper()
	if err != nil {
		return nil, err
	}
	return &admin.Client{BaseURL: s.cli.Server, Token: token, HTTP: &http.Client{Transport: transport}}, nil
}

func (s *session) roundTripper() (http.RoundTripper, error) {
	if s.transport != nil {
		return s.transport, nil
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	if s.cli.CA == "" {
		return transport, nil
	}
	pool, err := readCertPool(s.cli.CA)
	if err != nil {
		return nil, err
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

func readCertPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.KindBadRequest, "cannot read the CA certificates", "name a PEM file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, apierror.New(apierror.KindBadRequest, path+" holds no certificate", "name a PEM file")
	}
	return pool, nil
}
