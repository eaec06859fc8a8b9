package measure

import (
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/upstream"
)

// naiveRouter sends requests to the groups' first members in turn, tries the
// next one once if that fails, and refuses nothing.
type naiveRouter struct {
	groups []models.Group
	next   atomic.Uint64
	client *upstream.Client
}

func newNaiveRouter(groups []models.Group) *naiveRouter {
	return &naiveRouter{groups: groups, client: upstream.NewClient(dial.Dialer{})}
}

func (n *naiveRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := models.RequestID(uuid.NewString())
	const tries = 2
	for range tries {
		g := n.groups[int(n.next.Add(1))%len(n.groups)]
		answer, err := n.client.Do(r.Context(), callTo(g.Members[0].Addr, g, id, body))
		if err != nil {
			continue
		}
		defer answer.Body.Close()
		pass(w, answer)
		return
	}
	http.Error(w, "no upstream", http.StatusBadGateway)
}

func callTo(addr netip.AddrPort, g models.Group, id models.RequestID, body []byte) upstream.Call {
	return upstream.Call{
		Addr: addr, Method: http.MethodPost, Path: "/v1/chat/completions", Body: body,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Request: id, Group: g.ID, Fence: g.Fence,
	}
}

// pass copies an answer as it comes.
func pass(w http.ResponseWriter, answer *upstream.Answer) {
	w.WriteHeader(answer.Status)
	flush := http.NewResponseController(w).Flush
	buf := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(buf)
		if _, werr := w.Write(buf[:n]); werr != nil || flush() != nil {
			return
		}
		if err != nil {
			return
		}
	}
}
