// Package engine simulates a model engine for tests and demos.
//
// # Simulation
//
// An engine runs a limited number of requests concurrently and queues the rest
// by priority. Prefill takes time for the prompt tokens that are not in the
// prefix cache; tokens are then generated at an interval that grows with the
// number of running requests. Load reports lag. Only the latest cache events
// are kept, so a reader that falls behind misses some.
//
// # Answers
//
// Each token of an answer is a function of the prompt and the token's offset
// only, so an answer can be verified without storing it.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/zeebo/xxh3"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Speed configures the performance of an engine.
type Speed struct {
	// PrefillTokensPerSecond is the prefill rate in uncached prompt tokens per second.
	PrefillTokensPerSecond unit.Tokens
	// TokenInterval is the time between tokens of a single running request; each
	// further running request adds IntervalPerRunning.
	TokenInterval      time.Duration
	IntervalPerRunning time.Duration
	// MaxRunning is the maximum number of concurrently running requests.
	MaxRunning int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens unit.Tokens
	// ReportLag is the age of a load report.
	ReportLag time.Duration
	// TransferBytesPerSecond is the rate at which a cache entry is exported; zero
	// exports without delay.
	TransferBytesPerSecond unit.Bytes
}

// DefaultSpeed is the performance of a small engine.
var DefaultSpeed = Speed{
	PrefillTokensPerSecond: 8000,
	TokenInterval:          20 * time.Millisecond,
	IntervalPerRunning:     time.Millisecond,
	MaxRunning:             16,
	CacheTokens:            60_000,
	ReportLag:              300 * time.Millisecond,
}

// Engine is one endpoint of a model service. Use New to create one.
type Engine struct {
	// Incarnation and Service are immutable.
	Incarnation identity.Incarnation
	Service     identity.Service
	// ChecksFence makes the engine refuse orders with a lower fence than the
	// order in effect.
	ChecksFence bool
	Speed       Speed
	Records     *Records

	mu      sync.Mutex
	cache   *cache
	running int
	waiting []*queuedRequest
	cancels map[identity.Request]context.CancelFunc
	leaving bool
	// quietUntil is until when completions are refused; the refusals name the time left.
	quietUntil time.Time
	order      wire.Order
	reports    []timedReport
}

// queuedRequest is a waiting request; ready is closed when it may run.
type queuedRequest struct {
	priority wire.Priority
	tokens   unit.Tokens
	ready    chan struct{}
}

type timedReport struct {
	at     time.Time
	report wire.LoadReport
}

// New returns an idle engine.
func New(service identity.Service, incarnation identity.Incarnation, speed Speed, records *Records) *Engine {
	return &Engine{
		Incarnation: incarnation,
		Service:     service,
		Speed:       speed,
		Records:     records,
		cache:       newCache(speed.CacheTokens),
		cancels:     make(map[identity.Request]context.CancelFunc),
		order:       wire.Order{Model: service, Role: "mixed"},
	}
}

// token returns the token at offset of the answer to the prompt hashed to seed.
func token(seed uint64, offset unit.Tokens) string {
	hash := xxh3.HashStringSeed(strconv.FormatInt(int64(offset), 10), seed)
	return fmt.Sprintf("%04x ", hash&0xffff)
}

// ExpectedText returns the complete answer of n tokens to prompt.
func ExpectedText(prompt string, n unit.Tokens) string {
	seed := xxh3.HashString(prompt)
	var text []byte
	for i := range n {
		text = append(text, token(seed, i)...)
	}
	return string(text)
}

// SetQuiet makes the engine refuse completions for a time, and say so.
func (e *Engine) SetQuiet(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quietUntil = time.Now().Add(duration)
}

// SetLeaving makes load reports and answers say that the engine is leaving.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Handler returns a handler for the engine protocol.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(wire.CompletionsPath, e.complete).Methods(http.MethodPost)
	router.HandleFunc(wire.CancelPath, e.cancel).Methods(http.MethodPost)
	router.HandleFunc(wire.LoadPath, e.load).Methods(http.MethodGet)
	router.HandleFunc(wire.EventsPath, e.events).Methods(http.MethodGet)
	router.HandleFunc(wire.EntriesPath, e.entries).Methods(http.MethodGet)
	router.HandleFunc(wire.EntriesPath+"/{id}", e.exportEntry).Methods(http.MethodGet)
	router.HandleFunc(wire.EntriesPath+"/{id}", e.importEntry).Methods(http.MethodPut)
	router.HandleFunc(wire.OrdersPath, e.applyOrder).Methods(http.MethodPost)
	router.Use(e.sayLeaving)
	return router
}

// sayLeaving makes all answers of a leaving engine say so.
func (e *Engine) sayLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		leaving := e.leaving
		e.mu.Unlock()
		if leaving {
			w.Header().Set(wire.LeavingHeader, "1")
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.RequestHeader, r.Header.Get(wire.RequestHeader))
	var completion wire.Completion
	if err := json.NewDecoder(r.Body).Decode(&completion); err != nil {
		refuse(w, http.StatusBadRequest, "bad json")
		return
	}
	if completion.Incarnation != e.Incarnation {
		refuse(w, http.StatusMisdirectedRequest, "another incarnation")
		return
	}
	e.mu.Lock()
	drained, quiet := e.order.Drain, time.Until(e.quietUntil)
	e.mu.Unlock()
	if quiet > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(quiet.Seconds(), 'f', 3, 64))
		refuse(w, http.StatusServiceUnavailable, "quiet")
		return
	}
	if drained {
		refuse(w, http.StatusServiceUnavailable, "draining")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e.registerCancel(completion.Request, cancel)
	defer e.unregisterCancel(completion.Request)
	if err := e.acquireSlot(ctx, completion); err != nil {
		return
	}
	defer e.releaseSlot()
	e.stream(ctx, w, completion)
}

func (e *Engine) registerCancel(id identity.Request, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels[id] = cancel
}

func (e *Engine) unregisterCancel(id identity.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, id)
}

// acquireSlot queues the request and waits until it may run. It fails if ctx
// ends first; releaseSlot must then not be called.
func (e *Engine) acquireSlot(ctx context.Context, completion wire.Completion) error {
	q := &queuedRequest{priority: completion.Priority, tokens: wire.CountTokens(completion.Prompt), ready: make(chan struct{})}
	e.mu.Lock()
	e.waiting = append(e.waiting, q)
	e.startWaiting()
	e.mu.Unlock()
	select {
	case <-q.ready:
		return nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.waiting {
		if other == q {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return ctx.Err()
		}
	}
	// The request was started while ctx ended, so its slot is freed.
	e.running--
	e.startWaiting()
	return ctx.Err()
}

// startWaiting starts waiting requests while slots are free, highest priority
// first and in order of arrival within a priority; the caller holds mu.
func (e *Engine) startWaiting() {
	for e.running < e.Speed.MaxRunning && len(e.waiting) > 0 {
		best := 0
		for i, q := range e.waiting {
			if q.priority > e.waiting[best].priority {
				best = i
			}
		}
		q := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		e.running++
		close(q.ready)
	}
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.startWaiting()
}

// stream processes the prompt and writes the answer, one frame per token.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, completion wire.Completion) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire.IncarnationHeader, string(e.Incarnation))
	w.Header().Set(wire.RequestHeader, string(completion.Request))
	usage, err := e.prefill(ctx, completion)
	if err != nil {
		return
	}
	seed := xxh3.HashString(completion.Prompt)
	for offset := completion.ResumeOffset; offset < completion.MaxTokens; offset++ {
		if sleep(ctx, e.tokenInterval()) != nil {
			return
		}
		frame := wire.Frame{Request: completion.Request, Incarnation: e.Incarnation, Offset: offset}
		frame.Tokens = []string{token(seed, offset)}
		e.Records.recordGenerated(1)
		if writeFrame(w, frame) != nil {
			return
		}
	}
	usage.CompletionTokens = completion.MaxTokens - completion.ResumeOffset
	last := wire.Frame{
		Request: completion.Request, Incarnation: e.Incarnation, Offset: completion.MaxTokens, Done: true, Usage: &usage,
	}
	if writeFrame(w, last) != nil {
		return
	}
}

// prefill waits for the time that the uncached part of the prompt takes, and
// caches its blocks.
func (e *Engine) prefill(ctx context.Context, completion wire.Completion) (wire.Usage, error) {
	text := completion.Prompt
	if completion.Delivered != "" {
		text += " " + completion.Delivered
	}
	blocks := wire.HashBlocks(completion.Organisation, text)
	total := wire.CountTokens(text)
	e.mu.Lock()
	hits := e.cache.touchPrefix(blocks)
	e.mu.Unlock()
	cachedTokens := unit.Tokens(hits) * wire.BlockTokens
	e.Records.recordStart(completion.Request, blocks, hits, total-unit.Tokens(len(blocks))*wire.BlockTokens)
	prefillTime := time.Duration(total-cachedTokens) * time.Second / time.Duration(e.Speed.PrefillTokensPerSecond)
	if err := sleep(ctx, prefillTime); err != nil {
		return wire.Usage{}, err
	}
	e.mu.Lock()
	e.cache.store(completion.Organisation, 0, blocks)
	e.mu.Unlock()
	return wire.Usage{PromptTokens: total, CachedTokens: cachedTokens}, nil
}

// tokenInterval returns the time until the next token at the current load.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Speed.TokenInterval + time.Duration(e.running-1)*e.Speed.IntervalPerRunning
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var request wire.Cancel
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel, ok := e.cancels[request.Request]; ok {
		cancel()
	}
}

// refuse rejects a request and marks it as not executed.
func refuse(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(wire.RefusedHeader, "not_run")
	http.Error(w, detail, status)
}

func writeFrame(w http.ResponseWriter, frame wire.Frame) error {
	data, err := json.Marshal(frame)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
