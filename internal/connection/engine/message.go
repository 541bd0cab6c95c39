// Package engine speaks to model engines and plain services over HTTP.
//
// # Completions
//
// A completion is a POST to CompletionsPath. The engine answers with
// server-sent events, each a Frame, and ends with a Frame whose Done is set. A
// Frame names the request and the engine's incarnation, so that an answer that
// reached the wrong reader is found out. Every token has an offset from the
// start of the answer; an engine asked with ResumeOffset starts there.
//
// # Refusals
//
// An engine that refuses before running sets RefusedHeader to "not_run" and
// RequestHeader to the request that it refuses. Any other failure leaves open
// whether the request ran.
//
// # Orders
//
// An Order states what the engine should have loaded, not a change to it, so
// that repeating it is harmless. Engines that check fences answer 409 to an
// Order whose Fence is lower than one already obeyed.
//
// # Cached entries
//
// GET EntriesPath gives Entries, GET EntriesPath/{id} exports one, and PUT of
// what was exported imports it. Calls that name another incarnation in
// IncarnationHeader are answered 421.
package engine

import (
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// The paths of an engine, and the headers that endpoints of both kinds share.
const (
	CompletionsPath = "/v1/completions"
	CancelPath      = "/v1/cancel"
	LoadPath        = "/v1/load"
	EventsPath      = "/v1/cache_events"
	EntriesPath     = "/v1/kv_entries"
	OrdersPath      = "/v1/orders"

	// RefusedHeader is "not_run" on an answer given before running anything.
	RefusedHeader = "Dandelionlift-Refused"
	// RequestHeader carries the request id both ways.
	RequestHeader = "Dandelionlift-Request"
	// IncarnationHeader names the incarnation that is meant, and on the answer
	// the one that answered. An endpoint refuses another's with 421.
	IncarnationHeader = "Dandelionlift-Incarnation"
	// DeadlineHeader carries how many milliseconds the sender still waits.
	DeadlineHeader = "Dandelionlift-Deadline-Ms"
)

// Priority orders requests inside an engine; higher runs first.
type Priority int

// The priorities.
const (
	Batch       Priority = 0
	Interactive Priority = 10
)

// Completion asks an engine for an answer.
type Completion struct {
	Model        identity.Service      `json:"model"`
	Organisation identity.Organisation `json:"organisation"`
	Request      identity.Request      `json:"request"`
	Incarnation  identity.Incarnation  `json:"incarnation"`
	Prompt       string                `json:"prompt"`
	MaxTokens    unit.Tokens           `json:"max_tokens"`
	Priority     Priority              `json:"priority"`
	// ResumeOffset is the offset of the first token wanted; Delivered holds
	// the text before it.
	ResumeOffset unit.Tokens `json:"resume_offset,omitempty"`
	Delivered    string      `json:"delivered,omitempty"`
}

// Frame is one server-sent event of an answer.
type Frame struct {
	Request     identity.Request     `json:"request"`
	Incarnation identity.Incarnation `json:"incarnation"`
	// Offset is that of the first token in Tokens.
	Offset unit.Tokens `json:"offset"`
	// Tokens holds the text of each token in order.
	Tokens []string `json:"tokens,omitempty"`
	// Done marks the last frame, which has Usage and no tokens.
	Done  bool   `json:"done,omitempty"`
	Usage *Usage `json:"usage,omitempty"`
	// Error is set on a frame that ends the answer early.
	Error string `json:"error,omitempty"`
}

// Usage tells what an answer took.
type Usage struct {
	PromptTokens     unit.Tokens `json:"prompt_tokens"`
	CachedTokens     unit.Tokens `json:"cached_tokens"`
	CompletionTokens unit.Tokens `json:"completion_tokens"`
}

// Cancel ends a request that a completion started.
type Cancel struct {
	Request identity.Request `json:"request"`
}

// LoadReport is an engine's own view of its load, which lags.
type LoadReport struct {
	Incarnation   identity.Incarnation `json:"incarnation"`
	Running       int                  `json:"running"`
	Waiting       int                  `json:"waiting"`
	WaitingTokens unit.Tokens          `json:"waiting_tokens"`
	CachedTokens  unit.Tokens          `json:"cached_tokens"`
	CacheCapacity unit.Tokens          `json:"cache_capacity"`
	Leaving       bool                 `json:"leaving"`
	Model         identity.Service     `json:"model"`
	ModelVersion  string               `json:"model_version"`
	Adapter       string               `json:"adapter"`
	Role          string               `json:"role"`
}

// Block identifies one cached prefix block by the hash of all text up to its end.
type Block uint64

// CacheEvent tells that a block was stored in the cache or evicted from it.
type CacheEvent struct {
	// Sequence grows by one with each event; a jump means events were lost.
	Sequence uint64      `json:"sequence"`
	Stored   bool        `json:"stored"`
	Block    Block       `json:"block"`
	Tokens   unit.Tokens `json:"tokens"`
}

// CacheEvents answers a request for the events after a sequence.
type CacheEvents struct {
	Incarnation identity.Incarnation `json:"incarnation"`
	Events      []CacheEvent         `json:"events"`
}

// Entry describes one exportable KV cache entry: a block of a cached prefix.
type Entry struct {
	ID           string                `json:"id"`
	Organisation identity.Organisation `json:"organisation"`
	Block        Block                 `json:"block"`
	// Parent is the block before it; zero for the first of a prefix.
	Parent Block       `json:"parent"`
	Tokens unit.Tokens `json:"tokens"`
	Bytes  unit.Bytes  `json:"bytes"`
	// Uses counts how often the entry was hit; LastUseAge is in milliseconds.
	Uses         int   `json:"uses"`
	LastUseAgeMS int64 `json:"last_use_age_ms"`
}

// Entries lists what an engine can export.
type Entries struct {
	Incarnation identity.Incarnation `json:"incarnation"`
	Entries     []Entry              `json:"entries"`
}

// Order states what an engine should have loaded.
type Order struct {
	Fence        identity.Fence       `json:"fence"`
	Incarnation  identity.Incarnation `json:"incarnation"`
	Model        identity.Service     `json:"model"`
	ModelVersion string               `json:"model_version"`
	Adapter      string               `json:"adapter"`
	// Role is "mixed", "prefill" or "decode".
	Role string `json:"role"`
	// Drain asks the engine to refuse new requests and finish its own.
	Drain bool `json:"drain"`
}
