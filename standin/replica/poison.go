package replica

import (
	"net/http"
	"strings"
	"time"
)

// crashAfter is the time between the arrival of a poison request at an instance and its crash.
const crashAfter = 40 * time.Millisecond

// Poison records what happened with a poison request: one whose body crashes each instance that
// runs it.
type Poison struct {
	// Sent and Crashes are the times when instances received the request, and when it crashed them.
	Sent         []time.Time
	Crashes      []time.Time
	replaceAfter time.Duration
}

// SentAfter counts how often instances received the request later than t.
func (p Poison) SentAfter(t time.Time) int {
	n := 0
	for _, sent := range p.Sent {
		if sent.After(t) {
			n++
		}
	}
	return n
}

// headerPromptParts lists the parts of a prompt.
const headerPromptParts = "X-Lupinkeel-Prefix-Hash"

// partPrefix marks the poison that is a part of prompts.
const partPrefix = "part "

// CrashOnPart makes requests with this part in their prompts crash every instance that runs them.
// The record of it is that of the poison PartName(part).
func (p *Pool) CrashOnPart(part string, replaceAfter time.Duration) {
	p.CrashOn(PartName(part), replaceAfter)
}

// PartName returns the name of the poison that is a part of prompts.
func PartName(part string) string { return partPrefix + part }

// poisonOf returns the poison in a request, or nil. The pool must be locked.
func (p *Pool) poisonOf(r *http.Request, body []byte) *Poison {
	for part := range strings.SplitSeq(r.Header.Get(headerPromptParts), ",") {
		id, _, _ := strings.Cut(part, ":")
		if poison := p.poisons[PartName(id)]; poison != nil {
			return poison
		}
	}
	return p.poisons[string(body)]
}

// CrashOn makes a request with this body crash every instance that runs it. A new instance replaces
// a crashed one after replaceAfter.
func (p *Pool) CrashOn(body string, replaceAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poisons[body] = &Poison{replaceAfter: replaceAfter}
}

// Poison returns the record of a poison request.
func (p *Pool) Poison(body string) Poison {
	p.mu.Lock()
	defer p.mu.Unlock()
	return *p.poisons[body]
}

// crashIfPoisoned makes the instance crash shortly, and the request never complete, if it is a
// poison request. It returns false if it isn't.
func (i *Instance) crashIfPoisoned(r *http.Request, body []byte) bool {
	i.pool.mu.Lock()
	p := i.pool.poisonOf(r, body)
	if p != nil {
		p.Sent = append(p.Sent, time.Now())
	}
	i.pool.mu.Unlock()
	if p == nil {
		return false
	}
	time.AfterFunc(crashAfter, func() { i.crash(p) })
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// crash ends the instance, once, and has a new one replace it. A crash counts for each poison
// request that the instance was running.
func (i *Instance) crash(p *Poison) {
	i.pool.mu.Lock()
	p.Crashes = append(p.Crashes, time.Now())
	_, running := i.pool.instances[i.ID]
	i.pool.mu.Unlock()
	if !running {
		return
	}
	if err := i.Stop(); err != nil {
		i.pool.mu.Lock()
		i.pool.reportViolation("stop of crashed instance %s failed: %v", i.ID, err)
		i.pool.mu.Unlock()
	}
	time.AfterFunc(p.replaceAfter, func() {
		if _, err := i.pool.Add(i.Service, i.Zone, i.Domain); err != nil {
			i.pool.mu.Lock()
			defer i.pool.mu.Unlock()
			i.pool.reportViolation("replacement of crashed instance %s failed: %v", i.ID, err)
		}
	})
}
