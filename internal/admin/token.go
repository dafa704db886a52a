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

// Role is the set of operations that a token permits.
type Role string

const (
	// RoleRead permits queries, metrics, profiles, the state dump and reading the configuration.
	RoleRead Role = "read"
	// RoleChange permits everything that RoleRead does, and commands.
	RoleChange Role = "change"
)

// Token is an operator's bearer token.
type Token struct {
	// Operator is recorded in the configuration history.
	Operator string
	Role     Role
	// SHA256 is the lower-case hexadecimal SHA-256 digest of the token.
	SHA256 string
}

// TokensFromSettings converts the tokens configured in the settings.
func TokensFromSettings(configured []settings.Token) []Token {
	tokens := make([]Token, 0, len(configured))
	for _, token := range configured {
		tokens = append(tokens, Token{Operator: token.Name, Role: Role(token.Role), SHA256: token.SHA256})
	}
	return tokens
}

type tokenDigest struct {
	token  Token
	digest []byte
}

// decodeTokens decodes the digests of the tokens and drops tokens with a malformed digest.
func decodeTokens(tokens []Token) []tokenDigest {
	decoded := make([]tokenDigest, 0, len(tokens))
	for _, token := range tokens {
		digest, err := hex.DecodeString(token.SHA256)
		if err == nil && len(digest) == sha256.Size {
			decoded = append(decoded, tokenDigest{token: token, digest: digest})
		}
	}
	return decoded
}

// authorize returns the token of the request if its role is sufficient. It compares the digest with every
// token in constant time, so that the response time reveals nothing about the tokens.
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
