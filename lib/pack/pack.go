// Package pack encodes values as msgpack and decodes bytes that may come
// from anywhere.
package pack

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed is returned for bytes that do not hold the value wanted.
var ErrMalformed = errors.New("malformed value")

// Marshal encodes a value, with each number in as few bytes as it takes. Fields
// that are often zero are left out by their tags; the codec's own way to leave
// out zeros takes any type without exported fields for zero, such as netip's.
func Marshal(value any) ([]byte, error) {
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	var buf bytes.Buffer
	e.Reset(&buf)
	e.UseCompactInts(true)
	err := e.Encode(value)
	return buf.Bytes(), err
}

// Unmarshal decodes bytes into out. The codec panics on some malformed
// bytes, such as a nil where a time should be; that is an error here like
// any other, for a record on the log must not end the daemons that read it.
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
