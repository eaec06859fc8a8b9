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

// HashToken returns the hash of a token as it is stored in the configuration.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// tokenHash returns the hash of the request's bearer token; empty if there is none.
func tokenHash(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return ""
	}
	return HashToken(token)
}

// containsHash compares the hash with every known hash in constant time.
func containsHash(hashes []string, hash string) bool {
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	return found == 1
}

func authenticateWorkspace(s *state.State, r *http.Request) (models.Workspace, error) {
	hash := tokenHash(r)
	for _, w := range s.Workspaces {
		if hash != "" && containsHash(w.Tokens, hash) {
			return w, nil
		}
	}
	return models.Workspace{}, ErrUnknownToken
}

// bootstrapOperator is the name under which the bootstrap token acts.
const bootstrapOperator models.OperatorName = "bootstrap"

// authenticateOperator returns the operator who sent the request. The bootstrap token is valid
// only while no operator with a token may change the configuration.
func authenticateOperator(s *state.State, bootstrap string, r *http.Request) (models.Operator, error) {
	hash := tokenHash(r)
	if hash == "" {
		return models.Operator{}, ErrUnknownToken
	}
	changerExists := false
	for _, o := range s.Operators {
		if containsHash(o.Tokens, hash) {
			return o, nil
		}
		changerExists = changerExists || (o.Right == models.RightChange && len(o.Tokens) > 0)
	}
	if !changerExists && bootstrap != "" && containsHash([]string{bootstrap}, hash) {
		return models.Operator{Name: bootstrapOperator, Right: models.RightChange}, nil
	}
	return models.Operator{}, ErrUnknownToken
}
