package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/request/answer"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// trackedRequest is an accepted request with its answer.
type trackedRequest struct {
	call   call.Call
	answer *answer.Answer
	// plain replaces answer for calls to a plain service.
	plain     *plainResult
	startedAt time.Time
	// reservedBytes bounds the memory of the call and its answer.
	reservedBytes int
	// cancel ends the attempts; it is nil until assembly has started.
	cancel context.CancelCauseFunc
	// endpoint is the host of the newest attempt.
	endpoint identity.Host
	// endedAt is zero while the answer is being assembled.
	endedAt time.Time
}

const (
	// maxMemoryBytes bounds the memory that is reserved for all requests.
	maxMemoryBytes = 512 << 20
	// textBytesPerToken bounds the text of a token, and overheadBytesPerToken
	// what is stored with it.
	textBytesPerToken     = 32
	overheadBytesPerToken = 4
	// plainAnswerBytes is reserved for the answer of a plain service.
	plainAnswerBytes = 64 << 10
)

// sizeOf returns a bound on the memory of a call and its answer, in bytes.
func sizeOf(c call.Call) int {
	size := len(c.Prompt) + len(c.Body) + int(c.MaxTokens)*(textBytesPerToken+overheadBytesPerToken)
	if c.Method != "" {
		size += plainAnswerBytes
	}
	return size
}

// requestTable holds the accepted requests of an entry host by id.
type requestTable struct {
	mu   sync.Mutex
	byID map[identity.Request]trackedRequest
	// running counts requests that have not ended.
	running int
	// endedIDs lists the requests that have ended, in the order in which they
	// did.
	endedIDs []identity.Request
	// reservedBytes is the sum over all requests, at most maxMemoryBytes.
	reservedBytes int
	// stopCause is why no more requests are accepted, or nil.
	stopCause error
	limit     int
	retention time.Duration
}

func newRequestTable(limit int, retention time.Duration) *requestTable {
	return &requestTable{byID: make(map[identity.Request]trackedRequest), limit: limit, retention: retention}
}

// start adds a call, or reports false if the host is full or stopped.
func (r *requestTable) start(c call.Call) (trackedRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictExpired(time.Now())
	size := sizeOf(c)
	if r.stopCause != nil || len(r.byID) >= r.limit || r.reservedBytes+size > maxMemoryBytes {
		return trackedRequest{}, false
	}
	r.reservedBytes += size
	tracked := trackedRequest{
		call: c, answer: answer.NewWithLimit(int(c.MaxTokens) * textBytesPerToken),
		plain: &plainResult{done: make(chan struct{})}, startedAt: time.Now(), reservedBytes: size,
	}
	r.byID[c.Request] = tracked
	r.running++
	return tracked, true
}

// setCancel sets the function that ends the attempts of a request. It is called
// at once if cancelAll has been.
func (r *requestTable) setCancel(id identity.Request, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tracked, ok := r.byID[id]; ok {
		tracked.cancel = cancel
		r.byID[id] = tracked
	}
	if r.stopCause != nil {
		cancel(r.stopCause)
	}
}

// cancelAll ends the attempts of all unfinished requests. No more requests are
// accepted.
func (r *requestTable) cancelAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopCause = cause
	for _, tracked := range r.byID {
		if tracked.endedAt.IsZero() && tracked.cancel != nil {
			tracked.cancel(cause)
		}
	}
}

// setEndpoint records the endpoint of a request's newest attempt.
func (r *requestTable) setEndpoint(id identity.Request, endpoint identity.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tracked, ok := r.byID[id]; ok {
		tracked.endpoint = endpoint
		r.byID[id] = tracked
	}
}

// end marks a request as ended, from which its answer is kept for the retention
// period.
func (r *requestTable) end(id identity.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked, ok := r.byID[id]
	if !ok || !tracked.endedAt.IsZero() {
		return
	}
	tracked.endedAt = time.Now()
	r.byID[id] = tracked
	r.running--
	r.endedIDs = append(r.endedIDs, id)
}

func (r *requestTable) find(id identity.Request) (trackedRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked, ok := r.byID[id]
	return tracked, ok
}

func (r *requestTable) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopCause != nil
}

func (r *requestTable) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// evictExpired drops requests that ended longer ago than the retention period.
// The caller holds mu.
func (r *requestTable) evictExpired(now time.Time) {
	for len(r.endedIDs) > 0 {
		tracked := r.byID[r.endedIDs[0]]
		if now.Sub(tracked.endedAt) <= r.retention {
			return
		}
		delete(r.byID, r.endedIDs[0])
		r.reservedBytes -= tracked.reservedBytes
		r.endedIDs = r.endedIDs[1:]
	}
}
