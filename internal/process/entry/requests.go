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
	// reservedBytes is the memory reserved for the call and its answer.
	reservedBytes int
	// cancel ends the attempts of a model call. It is nil until assembly has started,
	// and for calls to a plain service.
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
	// plainAnswerBytes is reserved for the answer of a plain service, which may be
	// larger.
	plainAnswerBytes = 64 << 10
)

// sizeOf returns the memory to reserve for a call and its answer, in bytes. For model
// calls it is a bound.
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
	// cancelCause is the cause given to cancelAll, or nil before its call.
	cancelCause error
	// limit bounds the number of requests, including ended ones that are still kept.
	limit     int
	retention time.Duration
}

func newRequestTable(limit int, retention time.Duration) *requestTable {
	return &requestTable{byID: make(map[identity.Request]trackedRequest), limit: limit, retention: retention}
}

// start adds a call, or reports false if the host is full or cancelAll was called.
func (r *requestTable) start(c call.Call) (trackedRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictExpired(time.Now())
	size := sizeOf(c)
	if r.cancelCause != nil || len(r.byID) >= r.limit || r.reservedBytes+size > maxMemoryBytes {
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

// setCancel sets the function that ends the attempts of a request. If cancelAll was
// called before, it calls the function at once.
func (r *requestTable) setCancel(id identity.Request, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tracked, ok := r.byID[id]; ok {
		tracked.cancel = cancel
		r.byID[id] = tracked
	}
	if r.cancelCause != nil {
		cancel(r.cancelCause)
	}
}

// cancelAll ends the attempts of all unfinished requests. No more requests are
// accepted.
func (r *requestTable) cancelAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelCause = cause
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

// end marks a request as ended. From then on its answer is kept for the retention
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

func (r *requestTable) isCancelled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelCause != nil
}

func (r *requestTable) countRunning() int {
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
