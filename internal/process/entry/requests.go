package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/request/answer"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// work is one accepted request with its answer.
type work struct {
	call   call.Call
	answer *answer.Answer
	// plain is used in place of answer by calls to a plain service.
	plain   *plainResult
	started time.Time
	// bytes bounds what the work holds.
	bytes int
	// stop ends the attempts at the answer; nil before there are any.
	stop context.CancelCauseFunc
	// endpoint is where the newest attempt is.
	endpoint identity.Host
	// ended is zero while the answer is being assembled.
	ended time.Time
}

const (
	// memoryLimit bounds what all works of a host hold, in bytes.
	memoryLimit = 512 << 20
	// bytesPerToken bounds the text of an answer, endBytes what else a token takes.
	bytesPerToken = 32
	endBytes      = 4
	// plainAnswerBytes is reserved for the answer of a plain service.
	plainAnswerBytes = 64 << 10
)

// sizeOf bounds what a call and its answer hold.
func sizeOf(c call.Call) int {
	size := len(c.Prompt) + len(c.Body) + int(c.MaxTokens)*(bytesPerToken+endBytes)
	if c.Method != "" {
		size += plainAnswerBytes
	}
	return size
}

// requests holds the work of one entry host by request id.
type requests struct {
	mu    sync.Mutex
	works map[identity.Request]work
	// running counts works that have not ended.
	running int
	// ends lists the works that have, in the order of their ends.
	ends []identity.Request
	// bytes sums up those of all works; it stays below memoryLimit.
	bytes int
	// stopped is why no more works are taken, or nil.
	stopped error
	limit   int
	kept    time.Duration
}

func newRequests(limit int, kept time.Duration) *requests {
	return &requests{works: make(map[identity.Request]work), limit: limit, kept: kept}
}

// start takes a call in, or reports false when the host is full.
func (r *requests) start(c call.Call) (work, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(time.Now())
	size := sizeOf(c)
	if r.stopped != nil || len(r.works) >= r.limit || r.bytes+size > memoryLimit {
		return work{}, false
	}
	r.bytes += size
	w := work{
		call: c, answer: answer.Sized(int(c.MaxTokens) * bytesPerToken),
		plain: &plainResult{done: make(chan struct{})}, started: time.Now(), bytes: size,
	}
	r.works[c.Request] = w
	r.running++
	return w, true
}

// stoppable notes how to end the attempts of a work.
func (r *requests) stoppable(id identity.Request, stop context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w, ok := r.works[id]; ok {
		w.stop = stop
		r.works[id] = w
	}
	if r.stopped != nil {
		stop(r.stopped)
	}
}

// stopAll ends the attempts of all works that have not ended, and takes no more.
func (r *requests) stopAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = cause
	for _, w := range r.works {
		if w.ended.IsZero() && w.stop != nil {
			w.stop(cause)
		}
	}
}

// place notes the endpoint of a request's newest attempt.
func (r *requests) place(id identity.Request, endpoint identity.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w, ok := r.works[id]; ok {
		w.endpoint = endpoint
		r.works[id] = w
	}
}

// end starts the time for which the answer is kept.
func (r *requests) end(id identity.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.works[id]
	if !ok || !w.ended.IsZero() {
		return
	}
	w.ended = time.Now()
	r.works[id] = w
	r.running--
	r.ends = append(r.ends, id)
}

func (r *requests) find(id identity.Request) (work, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.works[id]
	return w, ok
}

func (r *requests) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped != nil
}

func (r *requests) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// forget drops answers that were kept long enough; mu is held.
func (r *requests) forget(now time.Time) {
	for len(r.ends) > 0 {
		w := r.works[r.ends[0]]
		if now.Sub(w.ended) <= r.kept {
			return
		}
		delete(r.works, r.ends[0])
		r.bytes -= w.bytes
		r.ends = r.ends[1:]
	}
}
