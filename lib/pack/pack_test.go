package pack_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/pack"
)

func TestUnmarshalMalformed(t *testing.T) {
	type value struct {
		At   time.Time         `msgpack:"t"`
		List []string          `msgpack:"l"`
		Map  map[string]string `msgpack:"m"`
	}
	for _, test := range []struct{ name, data string }{
		{"empty", ""},
		{"nil in place of a time", "\x81\xa1t\xc0"},
		{"an array longer than the data", "\x81\xa1l\xdd\x7f\xff\xff\xff"},
		{"a map longer than the data", "\x81\xa1m\xdf\x7f\xff\xff\xff"},
		{"a string longer than the data", "\x81\xa1l\x91\xdb\xff\xff\xff\xff"},
		{"nested too deep", "\x81\xa1x" + strings.Repeat("\x91", 1<<20)},
		{"an unknown code", "\xc1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out value
			qt.Assert(t, pack.Unmarshal([]byte(test.data), &out), qt.ErrorIs, pack.ErrMalformed)
		})
	}
}

func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	type value struct {
		At    time.Time
		Text  string
		Bytes []byte
		Ints  []int64
		Float float64
		Map   map[string]bool
	}
	in := value{
		At: time.Unix(1, 5).UTC(), Text: strings.Repeat("x", 70000), Bytes: make([]byte, 300),
		Ints: make([]int64, 70000), Float: 1.5, Map: map[string]bool{"a": true},
	}
	in.Ints[3] = -1 << 40
	data, err := pack.Marshal(in)
	c.Assert(err, qt.IsNil)
	var out value
	c.Assert(pack.Unmarshal(data, &out), qt.IsNil)
	out.At = out.At.UTC()
	c.Assert(out, qt.DeepEquals, in)
}
