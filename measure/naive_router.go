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

// naiveRouter sends requests to the groups' first members in turn, retries once on the next group
// if that fails, and has no admission control.
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
	const maxAttempts = 2
	for range maxAttempts {
		g := n.groups[int(n.next.Add(1))%len(n.groups)]
		response, err := n.client.Do(r.Context(), newCall(g.Members[0].Addr, g, id, body))
		if err != nil {
			continue
		}
		defer response.Body.Close()
		copyResponse(w, response)
		return
	}
	http.Error(w, "no upstream", http.StatusBadGateway)
}

func newCall(addr netip.AddrPort, g models.Group, id models.RequestID, body []byte) upstream.Call {
	return upstream.Call{
		Addr: addr, Method: http.MethodPost, Path: "/v1/chat/completions", Body: body,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Request: id, Group: g.ID, Fence: g.Fence,
	}
}

// copyResponse streams the response to the client.
func copyResponse(w http.ResponseWriter, response *upstream.Response) {
	w.WriteHeader(response.Status)
	flush := http.NewResponseController(w).Flush
	buf := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(buf)
		if _, werr := w.Write(buf[:n]); werr != nil || flush() != nil {
			return
		}
		if err != nil {
			return
		}
	}
}
