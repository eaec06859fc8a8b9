// Package pack encodes values as msgpack and decodes bytes that may come
// from anywhere.
package pack

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed is returned for bytes that do not hold the value wanted.
var ErrMalformed = errors.New("malformed value")

// Marshal encodes a value.
func Marshal(value any) ([]byte, error) { return msgpack.Marshal(value) }

// Unmarshal decodes bytes into out. The codec panics on some malformed
// bytes, such as a nil where a time should be; that is an error here like
// any other, for a record on the log must not end the daemons that read it.
func Unmarshal(data []byte, out any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrMalformed, r)
		}
	}()
	if err := check(data); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
