package pack

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is the maximum nesting depth of arrays and maps.
const maxDepth = 32

// validate walks over one encoded value without storing it. It rejects lengths that exceed the
// data, for which the codec would allocate memory, and nesting so deep that the codec's recursion
// would overflow the stack.
func validate(data []byte) error {
	w := walker{data: data}
	// pending holds, for each array or map being walked, how many of its values remain.
	pending := []int{1}
	for len(pending) > 0 {
		last := len(pending) - 1
		if pending[last] == 0 {
			pending = pending[:last]
			continue
		}
		pending[last]--
		children, err := w.step()
		if err != nil {
			return err
		}
		if children == 0 {
			continue
		}
		if children > len(w.data) {
			return fmt.Errorf("%w: %d values in %d bytes", ErrMalformed, children, len(w.data))
		}
		if len(pending) == maxDepth {
			return fmt.Errorf("%w: nested deeper than %d", ErrMalformed, maxDepth)
		}
		pending = append(pending, children)
	}
	return nil
}

// walker holds the bytes that remain to be walked.
type walker struct{ data []byte }

// step walks over one value up to its children and returns the number of children.
func (w *walker) step() (int, error) {
	head, err := w.take(1)
	if err != nil {
		return 0, err
	}
	c := head[0]
	switch {
	case msgpcode.IsFixedNum(c):
		return 0, nil
	case msgpcode.IsFixedMap(c):
		return 2 * int(c&msgpcode.FixedMapMask), nil
	case msgpcode.IsFixedArray(c):
		return int(c & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedString(c):
		return 0, w.skip(int(c & msgpcode.FixedStrMask))
	}
	return w.stepSized(c)
}

func (w *walker) stepSized(c byte) (int, error) {
	switch c {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 0, nil
	case msgpcode.Uint8, msgpcode.Int8:
		return 0, w.skip(1)
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return 0, w.skip(2)
	case msgpcode.FixExt2:
		return 0, w.skip(3)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 0, w.skip(4)
	case msgpcode.FixExt4:
		return 0, w.skip(5)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 0, w.skip(8)
	case msgpcode.FixExt8:
		return 0, w.skip(9)
	case msgpcode.FixExt16:
		return 0, w.skip(17)
	case msgpcode.Str8, msgpcode.Bin8:
		return 0, w.skipSized(1, 0)
	case msgpcode.Str16, msgpcode.Bin16:
		return 0, w.skipSized(2, 0)
	case msgpcode.Str32, msgpcode.Bin32:
		return 0, w.skipSized(4, 0)
	case msgpcode.Ext8:
		return 0, w.skipSized(1, 1)
	case msgpcode.Ext16:
		return 0, w.skipSized(2, 1)
	case msgpcode.Ext32:
		return 0, w.skipSized(4, 1)
	case msgpcode.Array16:
		return w.readLen(2)
	case msgpcode.Array32:
		return w.readLen(4)
	case msgpcode.Map16:
		n, err := w.readLen(2)
		return 2 * n, err
	case msgpcode.Map32:
		n, err := w.readLen(4)
		return 2 * n, err
	default:
		return 0, fmt.Errorf("%w: unknown code %#x", ErrMalformed, c)
	}
}

func (w *walker) take(n int) ([]byte, error) {
	if n > len(w.data) {
		return nil, fmt.Errorf("%w: ends early", ErrMalformed)
	}
	taken := w.data[:n]
	w.data = w.data[n:]
	return taken, nil
}

func (w *walker) skip(n int) error {
	_, err := w.take(n)
	return err
}

// readLen reads a length of the given width in bytes.
func (w *walker) readLen(width int) (int, error) {
	b, err := w.take(width)
	if err != nil {
		return 0, err
	}
	var wide [4]byte
	copy(wide[len(wide)-width:], b)
	return int(binary.BigEndian.Uint32(wide[:])), nil
}

// skipSized skips a length of the given width, as many bytes as it says, and extra more.
func (w *walker) skipSized(width, extra int) error {
	n, err := w.readLen(width)
	if err != nil {
		return err
	}
	return w.skip(n + extra)
}
