// Package engine is a small stand-in of a model engine.
//
// # What it models
//
// It runs a limited number of requests at once and queues the rest by priority.
// Reading a prompt takes time for the blocks that its prefix cache lacks;
// tokens then come at an interval that grows with the number running. Load
// reports lag, cache events come late and may skip.
//
// # Answers
//
// Token i of an answer is a function of the prompt alone, so that any reader
// can check an answer without having kept it.
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

// Speed describes how fast an engine works.
type Speed struct {
	// PrefillPerSecond is how many uncached prompt tokens are read a second.
	PrefillPerSecond unit.Tokens
	// TokenInterval is the time between tokens when running alone; each other
	// running request adds IntervalPerRunning.
	TokenInterval      time.Duration
	IntervalPerRunning time.Duration
	// MaxRunning is how many requests run at once.
	MaxRunning int
	// CacheTokens is the size of the prefix cache.
	CacheTokens unit.Tokens
	// ReportLag is how old a load report is.
	ReportLag time.Duration
	// TransferPerSecond is how fast an entry is exported; zero is at once.
	TransferPerSecond unit.Bytes
}

// DefaultSpeed is that of a small engine.
var DefaultSpeed = Speed{
	PrefillPerSecond:   8000,
	TokenInterval:      20 * time.Millisecond,
	IntervalPerRunning: time.Millisecond,
	MaxRunning:         16,
	CacheTokens:        60_000,
	ReportLag:          300 * time.Millisecond,
}

// Engine is one endpoint of a model service. Make one with New.
type Engine struct {
	// Incarnation and Service never change.
	Incarnation identity.Incarnation
	Service     identity.Service
	// ChecksFence makes the engine refuse orders with an old fence.
	ChecksFence bool
	Speed       Speed
	Records     *Records

	mu      sync.Mutex
	cache   *cache
	running int
	waiting []*ticket
	cancels map[identity.Request]context.CancelFunc
	leaving bool
	order   wire.Order
	reports []timedReport
}

// ticket is one queued request; ready is closed when it may run.
type ticket struct {
	priority wire.Priority
	tokens   unit.Tokens
	ready    chan struct{}
}

type timedReport struct {
	at     time.Time
	report wire.LoadReport
}

// New makes an idle engine.
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

func token(seed uint64, offset unit.Tokens) string {
	hash := xxh3.HashStringSeed(strconv.FormatInt(int64(offset), 10), seed)
	return fmt.Sprintf("%04x ", hash&0xffff)
}

// Text gives the whole answer of n tokens to prompt.
func Text(prompt string, n unit.Tokens) string {
	seed := xxh3.HashString(prompt)
	var text []byte
	for i := range n {
		text = append(text, token(seed, i)...)
	}
	return string(text)
}

// SetLeaving makes the engine say of itself that it is leaving.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(wire.CompletionsPath, e.complete).Methods(http.MethodPost)
	router.HandleFunc(wire.CancelPath, e.cancel).Methods(http.MethodPost)
	router.HandleFunc(wire.LoadPath, e.load).Methods(http.MethodGet)
	router.HandleFunc(wire.EventsPath, e.events).Methods(http.MethodGet)
	router.HandleFunc(wire.EntriesPath, e.entries).Methods(http.MethodGet)
	router.HandleFunc(wire.EntriesPath+"/{id}", e.exportEntry).Methods(http.MethodGet)
	router.HandleFunc(wire.EntriesPath+"/{id}", e.importEntry).Methods(http.MethodPut)
	router.HandleFunc(wire.OrdersPath, e.obey).Methods(http.MethodPost)
	return router
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.RequestHeader, r.Header.Get(wire.RequestHeader))
	var ask wire.Completion
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		refuse(w, http.StatusBadRequest, "bad json")
		return
	}
	if ask.Incarnation != e.Incarnation {
		refuse(w, http.StatusMisdirectedRequest, "another incarnation")
		return
	}
	e.mu.Lock()
	drained := e.order.Drain
	e.mu.Unlock()
	if drained {
		refuse(w, http.StatusServiceUnavailable, "draining")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e.remember(ask.Request, cancel)
	defer e.forget(ask.Request)
	if err := e.enter(ctx, ask); err != nil {
		return
	}
	defer e.leave()
	e.stream(ctx, w, ask)
}

func (e *Engine) remember(id identity.Request, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels[id] = cancel
}

func (e *Engine) forget(id identity.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, id)
}

// enter waits until the request may run.
func (e *Engine) enter(ctx context.Context, ask wire.Completion) error {
	t := &ticket{priority: ask.Priority, tokens: wire.CountTokens(ask.Prompt), ready: make(chan struct{})}
	e.mu.Lock()
	e.waiting = append(e.waiting, t)
	e.promote()
	e.mu.Unlock()
	select {
	case <-t.ready:
		return nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.waiting {
		if other == t {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return ctx.Err()
		}
	}
	e.running--
	e.promote()
	return ctx.Err()
}

// promote lets waiting requests run, highest priority first; mu is held.
func (e *Engine) promote() {
	for e.running < e.Speed.MaxRunning && len(e.waiting) > 0 {
		best := 0
		for i, t := range e.waiting {
			if t.priority > e.waiting[best].priority {
				best = i
			}
		}
		t := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		e.running++
		close(t.ready)
	}
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.promote()
}

// stream reads the prompt and writes the answer, a frame a token.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, ask wire.Completion) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire.IncarnationHeader, string(e.Incarnation))
	w.Header().Set(wire.RequestHeader, string(ask.Request))
	usage, err := e.prefill(ctx, ask)
	if err != nil {
		return
	}
	seed := xxh3.HashString(ask.Prompt)
	for offset := ask.ResumeOffset; offset < ask.MaxTokens; offset++ {
		if sleep(ctx, e.interval()) != nil {
			return
		}
		frame := wire.Frame{Request: ask.Request, Incarnation: e.Incarnation, Offset: offset}
		frame.Tokens = []string{token(seed, offset)}
		e.Records.generate(1)
		if writeFrame(w, frame) != nil {
			return
		}
	}
	usage.CompletionTokens = ask.MaxTokens - ask.ResumeOffset
	last := wire.Frame{
		Request: ask.Request, Incarnation: e.Incarnation, Offset: ask.MaxTokens, Done: true, Usage: &usage,
	}
	if writeFrame(w, last) != nil {
		return
	}
}

// prefill takes the time of reading what the cache lacks.
func (e *Engine) prefill(ctx context.Context, ask wire.Completion) (wire.Usage, error) {
	text := ask.Prompt
	if ask.Delivered != "" {
		text += " " + ask.Delivered
	}
	blocks := wire.Blocks(ask.Organisation, text)
	total := wire.CountTokens(text)
	e.mu.Lock()
	hits := e.cache.hit(blocks)
	e.mu.Unlock()
	held := unit.Tokens(hits) * wire.BlockTokens
	e.Records.start(ask.Request, blocks, hits, total-unit.Tokens(len(blocks))*wire.BlockTokens)
	work := time.Duration(total-held) * time.Second / time.Duration(e.Speed.PrefillPerSecond)
	if err := sleep(ctx, work); err != nil {
		return wire.Usage{}, err
	}
	e.mu.Lock()
	e.cache.store(ask.Organisation, 0, blocks)
	e.mu.Unlock()
	return wire.Usage{PromptTokens: total, CachedTokens: held}, nil
}

func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Speed.TokenInterval + time.Duration(e.running-1)*e.Speed.IntervalPerRunning
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var ask wire.Cancel
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel, ok := e.cancels[ask.Request]; ok {
		cancel()
	}
}

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
