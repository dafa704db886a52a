package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"godwitcart/internal/apierror"
	"godwitcart/internal/settings"
)

// Role says what the bearer of a token may do.
type Role string

// The roles.
const (
	// RoleRead allows queries, metrics and the state dump.
	RoleRead Role = "read"
	// RoleChange allows commands too.
	RoleChange Role = "change"
)

// Token is an operator's bearer token.
type Token struct {
	// Operator is named in the configuration's history.
	Operator string
	Role     Role
	// SHA256 is the lower-case hexadecimal SHA-256 digest of the token.
	SHA256 string
}

// TokensOf returns the tokens that settings name.
func TokensOf(configured []settings.Token) []Token {
	tokens := make([]Token, 0, len(configured))
	for _, token := range configured {
		tokens = append(tokens, Token{Operator: token.Name, Role: Role(token.Role), SHA256: token.SHA256})
	}
	return tokens
}

type tokenEntry struct {
	token  Token
	digest []byte
}

func tokenEntries(tokens []Token) []tokenEntry {
	entries := make([]tokenEntry, 0, len(tokens))
	for _, token := range tokens {
		digest, err := hex.DecodeString(token.SHA256)
		if err == nil && len(digest) == sha256.Size {
			entries = append(entries, tokenEntry{token: token, digest: digest})
		}
	}
	return entries
}

// authorize finds the request's operator and checks the role. All tokens are compared, in
// constant time.
func (h *Handler) authorize(r *http.Request, role Role) (Token, error) {
	text, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(text))
	var token Token
	for _, entry := range h.tokens {
		if subtle.ConstantTimeCompare(entry.digest, digest[:]) == 1 {
			token = entry.token
		}
	}
	if token.Operator == "" || text == "" {
		return Token{}, apierror.New(apierror.KindUnauthenticated, "the operators' token is missing or unknown",
			"send a token of the settings as \"Authorization: Bearer TOKEN\"")
	}
	if role == RoleChange && token.Role != RoleChange {
		return Token{}, apierror.Newf(apierror.KindForbidden, "use a token with the role change",
			"operator %s may ask but not change", token.Operator)
	}
	return token, nil
}
