package admin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
	"godwitcart/internal/policy"
)

func (h *Handler) serveQuery(w http.ResponseWriter, r *http.Request, _ Token) {
	var body QueryRequest
	statement, err := h.readStatement(r, &body, func() string { return body.Text })
	if err == nil && statement.Query == nil {
		err = apierror.New(apierror.KindBadRequest, "the statement is a command", "POST it to "+PathCommand)
	}
	if err == nil && h.options.Queries == nil {
		err = notServed()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	answer, err := h.options.Queries.Ask(r.Context(), statement.Query)
	writeAnswer(w, answer, err)
}

func (h *Handler) serveCommand(w http.ResponseWriter, r *http.Request, token Token) {
	var body CommandRequest
	statement, err := h.readStatement(r, &body, func() string { return body.Text })
	if err == nil && statement.Command == nil {
		err = apierror.New(apierror.KindBadRequest, "the statement is a query", "POST it to "+PathQuery)
	}
	if err == nil && h.options.Commands == nil {
		err = notServed()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	statement.Command.DryRun = statement.Command.DryRun || body.DryRun
	result, err := h.options.Commands.Execute(r.Context(), token.Operator, statement.Command)
	writeAnswer(w, result, err)
}

// serveConfiguration writes the configuration in force as YAML, which serveApply accepts.
func (h *Handler) serveConfiguration(w http.ResponseWriter, _ *http.Request, _ Token) {
	if h.options.Current == nil || h.options.Current() == nil {
		writeError(w, apierror.New(apierror.KindUnavailable, "this VM has not learnt the configuration yet", "ask again"))
		return
	}
	text, err := policy.YAML(h.options.Current())
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = w.Write(text)
}

func (h *Handler) serveApply(w http.ResponseWriter, r *http.Request, token Token) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, bodyError(err))
		return
	}
	configuration, err := policy.Parse(text)
	if err == nil && h.options.Commands == nil {
		err = notServed()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	dryRun := r.URL.Query().Get("dry_run") == "true"
	result, err := h.options.Commands.Apply(r.Context(), token.Operator, configuration, dryRun)
	writeAnswer(w, result, err)
}

// readStatement decodes a JSON body and parses the statement that it holds.
func (h *Handler) readStatement(r *http.Request, body any, text func() string) (*language.Statement, error) {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return nil, bodyError(err)
	}
	return language.Parse(text())
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return apierror.Newf(apierror.KindTooLarge, "send less", "the body has more than %d bytes", tooLarge.Limit)
	}
	return apierror.Wrap(err, apierror.KindBadRequest, "the body is malformed", `send JSON such as {"text": "show requests"}`)
}

func notServed() error {
	return apierror.New(apierror.KindUnavailable, "this process does not serve statements", "ask an entry VM")
}
