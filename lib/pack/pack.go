// Package pack encodes values as msgpack and decodes untrusted bytes.
package pack

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed is returned for bytes that do not encode the expected value.
var ErrMalformed = errors.New("malformed value")

// Marshal encodes a value, with each number in as few bytes as possible. Fields that are often
// zero have omitempty tags instead of the codec's global omitempty option, because that option
// treats every value of a type without exported fields, such as those of netip, as zero.
func Marshal(value any) ([]byte, error) {
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	var buf bytes.Buffer
	e.Reset(&buf)
	e.UseCompactInts(true)
	err := e.Encode(value)
	return buf.Bytes(), err
}

// Unmarshal decodes bytes into out. The codec panics on some malformed bytes, such as a nil in
// place of a time; Unmarshal returns an error instead, because a malformed record on the log must
// not crash the daemons that read it.
func Unmarshal(data []byte, out any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrMalformed, r)
		}
	}()
	if err := validate(data); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
