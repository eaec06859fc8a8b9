package replica

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// WrongAnswers are the fractions of plain requests that an instance runs and does not answer as it
// should.
type WrongAnswers struct {
	// Lost is the fraction whose connection is closed without an answer.
	Lost float64
	// Unsigned is the fraction answered with a status that looks as if the request had not run,
	// without the header that would say so.
	Unsigned float64
}

// unsignedStatuses are the statuses of unsigned answers.
var unsignedStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Arrival is the arrival of a plain request at an instance.
type Arrival struct {
	ID models.RequestID
	At time.Time
}

// SetWrongAnswers sets how all instances of the pool answer plain requests from now on.
func (p *Pool) SetWrongAnswers(w WrongAnswers) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wrong = w
}

// Arrivals returns the arrivals of plain requests so far.
func (p *Pool) Arrivals() []Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Arrival(nil), p.arrivals...)
}

// answerWrongly answers a request that has run wrongly, for the fractions that are set.
func (i *Instance) answerWrongly(w http.ResponseWriter) bool {
	i.pool.mu.Lock()
	wrong := i.pool.wrong
	i.pool.mu.Unlock()
	switch draw := rand.Float64(); {
	case draw < wrong.Lost:
		panic(http.ErrAbortHandler)
	case draw < wrong.Lost+wrong.Unsigned:
		w.Header().Set(headerStamp, string(i.ID))
		w.WriteHeader(unsignedStatuses[rand.IntN(len(unsignedStatuses))])
		return true
	}
	return false
}
