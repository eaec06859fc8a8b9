// Package dial makes dialers that leave from an address of the process's
// own, as the settings say.
package dial

import (
	"net"
	"net/netip"
	"time"
)

// Timeout bounds how long a connection may take to be made.
const Timeout = time.Second

// From returns a dialer whose connections leave from the source; the system
// chooses one if the source is not valid.
func From(source netip.Addr) *net.Dialer {
	d := &net.Dialer{Timeout: Timeout}
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return d
}
