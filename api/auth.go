package api

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
)

// HashToken returns the hash by which the configuration knows a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// tokenHash returns the hash of the request's bearer token, empty if it has
// none.
func tokenHash(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return ""
	}
	return HashToken(token)
}

// hasHash compares with every hash in constant time.
func hasHash(hashes []string, hash string) bool {
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	return found == 1
}

func workspaceOf(s *state.State, r *http.Request) (models.Workspace, error) {
	hash := tokenHash(r)
	for _, w := range s.Workspaces {
		if hash != "" && hasHash(w.Tokens, hash) {
			return w, nil
		}
	}
	return models.Workspace{}, ErrToken
}

// bootstrapOperator is who acts with the bootstrap token.
const bootstrapOperator models.OperatorName = "bootstrap"

// operatorOf returns the operator who sent the request. The bootstrap token
// counts only while nobody else may change the configuration.
func operatorOf(s *state.State, bootstrap string, r *http.Request) (models.Operator, error) {
	hash := tokenHash(r)
	if hash == "" {
		return models.Operator{}, ErrToken
	}
	someoneChanges := false
	for _, o := range s.Operators {
		if hasHash(o.Tokens, hash) {
			return o, nil
		}
		someoneChanges = someoneChanges || (o.Right == models.RightChange && len(o.Tokens) > 0)
	}
	if !someoneChanges && bootstrap != "" && hasHash([]string{bootstrap}, hash) {
		return models.Operator{Name: bootstrapOperator, Right: models.RightChange}, nil
	}
	return models.Operator{}, ErrToken
}
