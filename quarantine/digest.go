// Package quarantine finds requests that crash the instances that run them, and
// decides which requests are not to be sent any more. It is pure: crashes and times
// come in as values, and daemons that hold the same crashes decide the same.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/lupinkeel/lupinkeel/models"
)

// Request is what makes two requests the same one: who asks for what. The id of a
// request, its deadline and the event after which a stream is resumed are new each
// time that a caller comes back.
type Request struct {
	Workspace models.WorkspaceName
	Method    string
	Host      string
	// Target is the path with its query.
	Target string
	Body   []byte
}

// Digest stands for a request in logs and in messages between daemons, which hold
// neither bodies nor keys. Nobody can make another caller's request have the digest
// of his own, and so have it refused.
type Digest [sha256.Size]byte

// Digest is the request's digest.
func (r Request) Digest() Digest {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(r.Workspace), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body} {
		// Lengths keep the end of one field from passing for the beginning of the next.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	return Digest(h.Sum(nil))
}

// shortLen is how much of a digest logs show, in bytes: enough to find a request by.
const shortLen = 6

// String is the beginning of the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:shortLen]) }
