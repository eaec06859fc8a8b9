package api

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// requestOptions are the options that a caller sets for a request.
type requestOptions struct {
	idempotent bool
	priority   int
	timeout    time.Duration
	key        string
}

// maxKeyLen is the maximum length of an idempotency key in bytes.
const maxKeyLen = 256

// keyHash returns the hash of the workspace and the key; empty without a key.
func (s requestOptions) keyHash(w models.WorkspaceName) string {
	if s.key == "" {
		return ""
	}
	return HashToken(string(w) + "/" + s.key)
}

func (s *Server) parseOptions(r *http.Request, idempotent bool) (requestOptions, error) {
	out := requestOptions{idempotent: idempotent, timeout: s.cfg.RequestTimeout}
	var err error
	if text := r.Header.Get(HeaderIdempotent); text != "" {
		if out.idempotent, err = strconv.ParseBool(text); err != nil {
			return out, fmt.Errorf("%w: header %s is %q, allowed are true and false", ErrBadBody, HeaderIdempotent, text)
		}
	}
	if text := r.Header.Get(HeaderPriority); text != "" {
		out.priority, err = strconv.Atoi(text)
		if err != nil || out.priority < 0 || out.priority > maxPriority {
			return out, fmt.Errorf("%w: header %s is %q, allowed are 0 to %d", ErrBadBody, HeaderPriority, text, maxPriority)
		}
	}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		out.timeout, err = time.ParseDuration(text)
		if err != nil || out.timeout <= 0 {
			return out, fmt.Errorf("%w: header %s is %q, not a duration such as 30s", ErrBadBody, HeaderTimeout, text)
		}
	}
	if out.key = r.Header.Get(HeaderIdempotencyKey); out.key != "" {
		out.idempotent = false
	}
	if len(out.key) > maxKeyLen {
		return out, fmt.Errorf("%w: header %s has %d bytes, allowed are %d", ErrBadBody, HeaderIdempotencyKey, len(out.key), maxKeyLen)
	}
	return out, nil
}
