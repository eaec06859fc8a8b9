package frame_test

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/frame"
)

func TestCompressed(t *testing.T) {
	c := qt.New(t)
	const kind frame.Kind = 3
	for _, test := range []struct {
		about  string
		value  string
		shrink int
	}{
		{"short", "abc", 1},
		{"long", strings.Repeat("an instance of a group; ", 4000), 50},
	} {
		c.Run(test.about, func(c *qt.C) {
			plain, err := frame.Encode(kind, test.value)
			c.Assert(err, qt.IsNil)
			compressed := plain.Compressed()
			c.Assert(len(compressed.Bytes)*test.shrink <= len(plain.Bytes), qt.IsTrue)
			c.Assert(compressed.Kind, qt.Equals, kind)

			got, body, err := frame.Read(bytes.NewReader(compressed.Bytes))
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, kind)
			var value string
			c.Assert(frame.Decode(body, &value), qt.IsNil)
			c.Assert(value, qt.Equals, test.value)
		})
	}
}

func TestCompressedMalformed(t *testing.T) {
	c := qt.New(t)
	_, _, err := frame.Read(bytes.NewReader([]byte{0, 0, 0, 2, 0x83, 0xff, 0xff}))
	c.Assert(err, qt.ErrorIs, frame.ErrFormat)

	_, _, err = frame.Read(bytes.NewReader(compressedZeros(c, frame.MaxLen+1)))
	c.Assert(err, qt.ErrorIs, frame.ErrTooLong)
}

// compressedZeros returns a compressed frame whose value is the given number of zero bytes.
func compressedZeros(c *qt.C, zeros int) []byte {
	buf := bytes.NewBuffer(make([]byte, 5))
	w, err := flate.NewWriter(buf, flate.BestSpeed)
	c.Assert(err, qt.IsNil)
	_, err = w.Write(make([]byte, zeros))
	c.Assert(err, qt.IsNil)
	c.Assert(w.Close(), qt.IsNil)
	out := buf.Bytes()
	binary.BigEndian.PutUint32(out, uint32(len(out)-5))
	out[4] = 0x83
	return out
}
