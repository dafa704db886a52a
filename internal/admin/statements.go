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
		err = statementsUnavailable()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	result, err := h.options.Queries.Execute(r.Context(), statement.Query)
	writeResult(w, result, err)
}

func (h *Handler) serveCommand(w http.ResponseWriter, r *http.Request, token Token) {
	var body CommandRequest
	statement, err := h.readStatement(r, &body, func() string { return body.Text })
	if err == nil && statement.Command == nil {
		err = apierror.New(apierror.KindBadRequest, "the statement is a query", "POST it to "+PathQuery)
	}
	if err == nil && h.options.Commands == nil {
		err = statementsUnavailable()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	statement.Command.DryRun = statement.Command.DryRun || body.DryRun
	result, err := h.options.Commands.Execute(r.Context(), token.Operator, statement.Command)
	writeResult(w, result, err)
}

// serveConfiguration writes the configuration in force as YAML, in the form that serveApply accepts.
func (h *Handler) serveConfiguration(w http.ResponseWriter, _ *http.Request, _ Token) {
	if h.options.CurrentConfiguration == nil || h.options.CurrentConfiguration() == nil {
		writeError(w, apierror.New(apierror.KindUnavailable, "this VM has not learnt the configuration yet", "ask again"))
		return
	}
	text, err := policy.YAML(h.options.CurrentConfiguration())
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
		writeError(w, requestBodyError(err))
		return
	}
	configuration, err := policy.Parse(text)
	if err == nil && h.options.Commands == nil {
		err = statementsUnavailable()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	dryRun := r.URL.Query().Get("dry_run") == "true"
	result, err := h.options.Commands.Apply(r.Context(), token.Operator, configuration, dryRun)
	writeResult(w, result, err)
}

// readStatement decodes the JSON request into body and parses the statement that text then returns.
func (h *Handler) readStatement(r *http.Request, body any, text func() string) (*language.Statement, error) {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return nil, requestBodyError(err)
	}
	return language.Parse(text())
}

func requestBodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return apierror.Newf(apierror.KindTooLarge, "send less", "the body has more than %d bytes", tooLarge.Limit)
	}
	return apierror.Wrap(err, apierror.KindBadRequest, "the body is malformed", `send JSON such as {"text": "show requests"}`)
}

func statementsUnavailable() error {
	return apierror.New(apierror.KindUnavailable, "this process does not serve statements", "ask an entry VM")
}
