package settings

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"godwitcart/internal/apierror"
)

// maxFileBytes bounds the size of a settings file.
const maxFileBytes = 1 << 20

// Load reads the file at path, fills in the defaults and checks the result. The error is an apierror.Error that
// lists every problem with its file, line and remedy.
func Load(path string) (*Settings, error) { return load(path, Parse) }

// Parse is Load for text that was already read; path is used in errors only.
func Parse(path string, text []byte) (*Settings, error) { return parse(path, text, Default(), Check) }

func load[T any](path string, parse func(path string, text []byte) (*T, error)) (*T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.KindBadRequest, "cannot read settings "+path, "name a settings file that the process may read")
	}
	return parse(path, text)
}

// parse decodes the text over the defaults and checks the result.
func parse[T any](path string, text []byte, defaults *T, check func(*T) []Problem) (*T, error) {
	if len(text) > maxFileBytes {
		return nil, apierror.Newf(apierror.KindBadRequest, "name a settings file", "%s: larger than %d bytes", path, maxFileBytes)
	}
	if err := rejectAliases(path, text); err != nil {
		return nil, err
	}
	if err := yaml.UnmarshalWithOptions(text, defaults, yaml.DisallowUnknownField()); err != nil {
		return nil, syntaxError(path, err)
	}
	if problems := check(defaults); len(problems) > 0 {
		return nil, problemsError(path, text, problems)
	}
	return defaults, nil
}

// rejectAliases returns an error if the text has YAML anchors, aliases or merge keys, because the decoder does not
// terminate on recursive aliases.
func rejectAliases(path string, text []byte) error {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return syntaxError(path, err)
	}
	finder := &aliasFinder{}
	for _, document := range file.Docs {
		ast.Walk(finder, document)
	}
	if finder.line == 0 {
		return nil
	}
	return apierror.Newf(apierror.KindBadRequest, "write the value out", "%s:%d: YAML anchors and aliases are not supported", path, finder.line)
}

// aliasFinder records the line of an anchor, alias or merge key.
type aliasFinder struct {
	line int
}

// Visit implements ast.Visitor.
func (f *aliasFinder) Visit(node ast.Node) ast.Visitor {
	if node == nil {
		return nil
	}
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		f.line = node.GetToken().Position.Line
		return nil
	default:
		return f
	}
}

// syntaxError adds file, line and remedy to an error of the YAML library.
func syntaxError(path string, err error) error {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return apierror.Wrap(err, apierror.KindBadRequest, path, "correct the YAML text")
	}
	line := located.GetToken().Position.Line
	remedy := "correct the value"
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		remedy = "remove the key or correct its spelling (see docs/settings.md)"
	}
	return apierror.Newf(apierror.KindBadRequest, remedy, "%s:%d: %s", path, line, located.GetMessage())
}

// problemsError returns an error that lists the problems, one per line.
func problemsError(path string, text []byte, problems []Problem) error {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return syntaxError(path, err)
	}
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s; %s", path, lineOf(file, p.Key), p.Key, p.Message, p.Remedy))
	}
	return apierror.New(apierror.KindBadRequest, strings.Join(lines, "\n"), "correct the settings and start again")
}

// lineOf returns the line of the setting, or of the innermost enclosing section that the file has, or 1.
func lineOf(file *ast.File, key string) int {
	for key != "" {
		if line, found := findLine(file, key); found {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

func findLine(file *ast.File, key string) (int, bool) {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0, false
	}
	node, err := path.FilterFile(file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0, false
	}
	return node.GetToken().Position.Line, true
}

// ReadCursorKeys returns the decoded cursor keys, from CursorKeysFile if it is set.
func (s *Settings) ReadCursorKeys() ([][]byte, error) {
	texts := s.CursorKeys
	if s.CursorKeysFile != "" {
		content, err := os.ReadFile(s.CursorKeysFile)
		if err != nil {
			return nil, apierror.Wrap(err, apierror.KindBadRequest, "cannot read cursor_keys_file", "name a file that the process may read")
		}
		texts = strings.Fields(string(content))
	}
	if len(texts) == 0 {
		return nil, apierror.New(apierror.KindBadRequest, "there is no cursor key", "write one key per line into cursor_keys_file")
	}
	return decodeKeys(texts)
}

func decodeKeys(texts []string) ([][]byte, error) {
	keys := make([][]byte, 0, len(texts))
	for i, text := range texts {
		key, err := hex.DecodeString(text)
		if err != nil || len(key) != CursorKeyBytes {
			return nil, apierror.Newf(apierror.KindBadRequest, "write 64 hexadecimal digits", "cursor key %d is malformed", i+1)
		}
		keys = append(keys, key)
	}
	return keys, nil
}
