package measure

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/site"
	"github.com/lupinkeel/lupinkeel/standin"
	"github.com/lupinkeel/lupinkeel/worker/platform"
)

const (
	naiveStream = "naive"
	naivePoll   = time.Second
	// staleDistance is how many records before the end of the stream the record to append again
	// lies.
	staleDistance = 6
)

// reappend appends an older record of the stream again, as a delayed retry does.
func reappend(ctx context.Context, addr netip.AddrPort, stream string) error {
	c := platform.NewClient(addr, addr, dial.Dialer{})
	entries, err := c.ReadTail(ctx, stream, staleDistance)
	if errors.Is(err, platform.ErrRejected) || len(entries) == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	_, err = c.Append(ctx, stream, entries[0].Data)
	if errors.Is(err, platform.ErrRejected) || errors.Is(err, platform.ErrUnknown) {
		return nil
	}
	return err
}

// naiveConfig is the naive system: each daemon polls the log once a second and applies the last
// write; an append is retried until it is acknowledged.
type naiveConfig struct {
	standins *standin.Platform
	proxy    *standin.Link
	addr     netip.AddrPort
	daemons  []*naiveDaemon
	cancel   context.CancelFunc
	ctx      context.Context
	tasks    []task.Task
	mu       sync.Mutex
	traffic  atomic.Uint64
}

type naiveDaemon struct {
	client *platform.Client
	value  atomic.Int64
	stop   context.CancelFunc
	task   task.Task
}

func newNaiveConfig(ctx context.Context, opts ConfigOptions) (*naiveConfig, error) {
	ctx, stop := context.WithCancel(ctx)
	n := &naiveConfig{standins: standin.NewPlatform(), ctx: ctx, cancel: stop}
	server, err := standin.Listen(netip.MustParseAddrPort("127.0.0.1:0"), n.standins.Handler())
	if err != nil {
		stop()
		return nil, err
	}
	n.addr = server.Addr
	n.tasks = append(n.tasks, task.Start(ctx, "platform", server.Run))
	if n.proxy, err = standin.NewLink(netip.MustParseAddrPort("127.0.0.1:0"), server.Addr); err != nil {
		stop()
		return nil, err
	}
	n.tasks = append(n.tasks, task.Start(ctx, "link", n.proxy.Run))
	for i := range opts.Daemons {
		n.daemons = append(n.daemons, n.newDaemon(i))
	}
	return n, nil
}

func (n *naiveConfig) newDaemon(i int) *naiveDaemon {
	ctx, stop := context.WithCancel(n.ctx)
	count := func(sent, received int) { n.traffic.Add(uint64(sent + received)) }
	d := &naiveDaemon{
		client: platform.NewClient(n.proxy.Addr, n.proxy.Addr, dial.Dialer{Source: site.SourceAddr(i), Count: count}), stop: stop,
	}
	d.task = task.Start(ctx, "naive", d.run)
	return d
}

func (d *naiveDaemon) run(ctx context.Context) error {
	next := models.Offset(1)
	tick := time.NewTicker(naivePoll)
	defer tick.Stop()
	for {
		response, err := d.client.Read(ctx, naiveStream, next, 0)
		if err == nil {
			for _, e := range response.Entries {
				v, _ := strconv.Atoi(string(e.Data))
				d.value.Store(int64(v))
				next = e.Offset + 1
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (n *naiveConfig) change(ctx context.Context, daemon, value int) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := n.daemon(daemon).client.Append(ctx, naiveStream, []byte(strconv.Itoa(value))); err == nil {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (n *naiveConfig) daemon(i int) *naiveDaemon {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.daemons[i]
}

func (n *naiveConfig) values() []int {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]int, 0, len(n.daemons))
	for _, d := range n.daemons {
		out = append(out, int(d.value.Load()))
	}
	return out
}

func (n *naiveConfig) replace(i int) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.daemons[i].stop()
	err := task.Wait(n.daemons[i].task)
	n.daemons[i] = n.newDaemon(i)
	return err
}

func (n *naiveConfig) platform() *standin.Platform { return n.standins }
func (n *naiveConfig) link() *standin.Link         { return n.proxy }
func (n *naiveConfig) controlBytes() uint64        { return n.traffic.Load() }

func (n *naiveConfig) reappendOld(ctx context.Context) error {
	return reappend(ctx, n.addr, naiveStream)
}

func (n *naiveConfig) stop() error {
	n.cancel()
	for _, d := range n.daemons {
		n.tasks = append(n.tasks, d.task)
	}
	return task.Wait(n.tasks...)
}
