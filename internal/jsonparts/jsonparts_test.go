package jsonparts_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/jsonparts"
)

func TestParts(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	members, err := jsonparts.Members([]byte(` { "a" : 1e999 , "b":"x\"},{" ,"c":` + deep + `,"d":{"e":[{},[]]},"é":null, "a":-0.5 } `))
	require.NoError(t, err)
	require.Len(t, members, 5)
	require.Equal(t, "-0.5", string(members["a"]))
	require.Equal(t, `"x\"},{"`, string(members["b"]))
	require.Len(t, members["c"], len(deep))
	require.Equal(t, `{"e":[{},[]]}`, string(members["d"]))
	require.Equal(t, "null", string(members["é"]))
	elements, err := jsonparts.Elements([]byte("[1, \"a]\" ,\n{\"b\":[2]},[],true]"))
	require.NoError(t, err)
	require.Len(t, elements, 5)
	require.Equal(t, `"a]"`, string(elements[1]))
	for _, empty := range []string{"[]", " [ ] "} {
		elements, err = jsonparts.Elements([]byte(empty))
		require.NoError(t, err)
		require.Empty(t, elements)
	}
}

func TestMalformedText(t *testing.T) {
	for _, text := range []string{"", " ", "null", "7", "[", "{", "[1", "[1,", "[,]", "[1 2", `["a`, `["a\`, "{1:2}", `{"a"}`, `{"a":}`, `{"a":1,}`, `{"a":[}`, "[[]"} {
		_, objectErr := jsonparts.Members([]byte(text))
		_, arrayErr := jsonparts.Elements([]byte(text))
		require.Error(t, objectErr, text)
		require.Error(t, arrayErr, text)
	}
}

// FuzzParts checks that the parts of valid JSON are those that a decoder finds, and that nothing else makes it fail.
func FuzzParts(f *testing.F) {
	for _, seed := range []string{`{"a":[1,{"b":"\\\""}],"c":null}`, `[1,"x",[],{}]`, `{`, `[1e999]`, `{"a":1,"a":2}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		members, membersErr := jsonparts.Members(text)
		elements, elementsErr := jsonparts.Elements(text)
		var object map[string]json.RawMessage
		if json.Unmarshal(text, &object) == nil && object != nil {
			require.NoError(t, membersErr)
			require.Len(t, members, len(object))
			for name, value := range object {
				require.JSONEq(t, string(value), string(members[name]))
			}
		}
		var array []json.RawMessage
		if json.Unmarshal(text, &array) == nil && array != nil {
			require.NoError(t, elementsErr)
			require.Len(t, elements, len(array))
		}
	})
}
