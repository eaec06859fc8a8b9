// Package quarantine finds requests, and parts of prompts, that crash the instances that run them,
// and decides which requests must not be sent any more. It does no I/O: crashes and times are passed in, and daemons
// with the same crashes make the same decisions.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/lupinkeel/lupinkeel/models"
)

// Request holds the fields by which two requests count as the same. The request ID, the deadline
// and the event after which a stream resumes are not included, since they change with each retry of
// a caller.
type Request struct {
	Workspace models.WorkspaceName
	Method    string
	Host      string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Digest identifies a request, or a part of prompts, in logs and in messages between daemons, which contain neither bodies
// nor keys. The hash is collision-resistant, so a caller can't craft a request with the digest of
// another caller's request to have that request rejected.
type Digest [sha256.Size]byte

// Digest returns the digest of the request.
func (r Request) Digest() Digest {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(r.Workspace), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body} {
		writeField(h, field)
	}
	return Digest(h.Sum(nil))
}

// writeField hashes a field after its length, which delimits it: different fields can't hash the
// same input.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write(field)
}

// shortLen is the number of digest bytes shown in logs, enough to find a request.
const shortLen = 6

// String returns the first bytes of the digest in hex, after "part-" for a part of prompts.
func (d Digest) String() string {
	if d.IsPart() {
		return d.partString()
	}
	return hex.EncodeToString(d[:shortLen])
}
