package replica

import (
	"bytes"
	"strconv"
	"strings"
)

// largePrefix begins the body of a plain request whose answer has a size; the number of bytes follows.
const largePrefix = "large "

// padding returns what makes an answer as long as the body of its request asks for.
func padding(body []byte) string {
	size, asked := bytes.CutPrefix(body, []byte(largePrefix))
	if !asked {
		return ""
	}
	n, err := strconv.Atoi(string(size))
	if err != nil || n < 0 {
		return ""
	}
	return strings.Repeat("a", n)
}
