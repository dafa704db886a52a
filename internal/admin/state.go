package admin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxStateBytes limits the encoded size of one part of the state dump.
const maxStateBytes = 4 << 20

// StateProvider is a component whose state is included in the dump. State returns a value that encoding/json
// can encode and that contains no API keys.
type StateProvider interface {
	Name() string
	State() any
}

// StateFunc adapts a function to a StateProvider.
type StateFunc struct {
	Part string
	Get  func() any
}

// Name implements StateProvider.
func (f StateFunc) Name() string { return f.Part }

// State implements StateProvider.
func (f StateFunc) State() any { return f.Get() }

// omittedState replaces a part that cannot be encoded or exceeds maxStateBytes.
type omittedState struct {
	Omitted string `json:"omitted"`
	Bytes   int    `json:"bytes"`
}

// DumpState writes the state of all providers as one JSON object. A part that cannot be encoded or is too
// large is replaced by the reason for its omission.
func DumpState(w io.Writer, providers []StateProvider) error {
	parts := make(map[string]json.RawMessage, len(providers))
	for _, provider := range providers {
		parts[provider.Name()] = encodeState(provider)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(parts), "write the state dump")
}

func encodeState(provider StateProvider) json.RawMessage {
	text, err := json.Marshal(provider.State())
	var omitted omittedState
	switch {
	case err != nil:
		omitted = omittedState{Omitted: err.Error()}
	case len(text) > maxStateBytes:
		omitted = omittedState{Omitted: "too large; use queries", Bytes: len(text)}
	default:
		return text
	}
	text, err = json.Marshal(omitted)
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}

func (h *Handler) serveState(w http.ResponseWriter, _ *http.Request, _ Token) {
	w.Header().Set("Content-Type", "application/json")
	_ = DumpState(w, h.options.States)
}
