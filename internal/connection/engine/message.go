// Package engine is the HTTP client for model engines and plain services. An
// endpoint is a host that runs either.
//
// # Completions
//
// A completion is a POST to CompletionsPath. The engine responds with
// server-sent events, each a Frame; the last one has Done set. A Frame names the
// request and the engine's incarnation, so that a misdirected answer is detected.
// Every token has an offset from the start of the answer; with ResumeOffset the
// engine starts at that token.
//
// # Refusals
//
// An engine that refuses a request without running it sets RefusedHeader to
// "not_run" and RequestHeader to the request's ID. Any other failure leaves open
// whether the request ran. A refusal with status 503 may name in Retry-After the seconds
// for which the engine wants no requests from this host.
//
// # Leaving
//
// An engine that is leaving sets LeavingHeader to "1" in all its answers.
//
// # Orders
//
// An Order states the desired state of an engine, not a change to it, so it is
// idempotent. Engines that check fencing tokens respond with 409 to an Order
// whose Fence is lower than that of an order they have already applied.
//
// # Cached entries
//
// GET EntriesPath returns Entries, GET EntriesPath/{id} exports one entry, and
// PUT to the same path imports an exported one. If IncarnationHeader names another
// incarnation, the response is 421.
package engine

import (
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Paths of an engine, and headers that engines and plain services share.
const (
	CompletionsPath = "/v1/completions"
	CancelPath      = "/v1/cancel"
	LoadPath        = "/v1/load"
	EventsPath      = "/v1/cache_events"
	EntriesPath     = "/v1/kv_entries"
	OrdersPath      = "/v1/orders"

	// RefusedHeader is "not_run" if the request was refused without running it.
	RefusedHeader = "Dandelionlift-Refused"
	// RequestHeader carries the request ID in requests and responses.
	RequestHeader = "Dandelionlift-Request"
	// IncarnationHeader names the intended incarnation in a request and the
	// responding one in a response. An endpoint responds with 421 to a request
	// for another incarnation.
	IncarnationHeader = "Dandelionlift-Incarnation"
	// DeadlineHeader carries the time in milliseconds until the sender times out.
	DeadlineHeader = "Dandelionlift-Deadline-Ms"
)

// Priority is the scheduling priority of a request; higher runs first.
type Priority int

// The priorities.
const (
	Batch       Priority = 0
	Interactive Priority = 10
)

// Completion is the body of a completion request.
type Completion struct {
	Model        identity.Service      `json:"model"`
	Organisation identity.Organisation `json:"organisation"`
	Request      identity.Request      `json:"request"`
	Incarnation  identity.Incarnation  `json:"incarnation"`
	Prompt       string                `json:"prompt"`
	MaxTokens    unit.Tokens           `json:"max_tokens"`
	Priority     Priority              `json:"priority"`
	// ResumeOffset is the offset of the first token to generate; Delivered is
	// the text before it.
	ResumeOffset unit.Tokens `json:"resume_offset,omitempty"`
	Delivered    string      `json:"delivered,omitempty"`
}

// Frame is one server-sent event of an answer.
type Frame struct {
	Request     identity.Request     `json:"request"`
	Incarnation identity.Incarnation `json:"incarnation"`
	// Offset is the offset of the first token in Tokens.
	Offset unit.Tokens `json:"offset"`
	// Tokens is the text of each token in order.
	Tokens []string `json:"tokens,omitempty"`
	// Done marks the last frame, which has Usage and no tokens.
	Done  bool   `json:"done,omitempty"`
	Usage *Usage `json:"usage,omitempty"`
	// Error is set on a frame that ends the answer prematurely.
	Error string `json:"error,omitempty"`
}

// Usage is the number of tokens that a request used.
type Usage struct {
	PromptTokens     unit.Tokens `json:"prompt_tokens"`
	CachedTokens     unit.Tokens `json:"cached_tokens"`
	CompletionTokens unit.Tokens `json:"completion_tokens"`
}

// Cancel is the body of a call that cancels a completion.
type Cancel struct {
	Request identity.Request `json:"request"`
}

// LoadReport is the load that an engine reports; it may be out of date.
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

// Block identifies a block of a cached prefix by the hash of all text up to its end.
type Block uint64

// CacheEvent reports that a block was stored in the cache or evicted from it.
type CacheEvent struct {
	// Sequence increases by one with each event; a gap means lost events.
	Sequence uint64      `json:"sequence"`
	Stored   bool        `json:"stored"`
	Block    Block       `json:"block"`
	Tokens   unit.Tokens `json:"tokens"`
}

// CacheEvents is the response to a request for the events after a sequence number.
type CacheEvents struct {
	Incarnation identity.Incarnation `json:"incarnation"`
	Events      []CacheEvent         `json:"events"`
}

// Entry describes one exportable KV cache entry: a block of a cached prefix.
type Entry struct {
	ID           string                `json:"id"`
	Organisation identity.Organisation `json:"organisation"`
	Block        Block                 `json:"block"`
	// Parent is the preceding block, or zero for the first block of a prefix.
	Parent Block       `json:"parent"`
	Tokens unit.Tokens `json:"tokens"`
	Bytes  unit.Bytes  `json:"bytes"`
	// Hits counts cache hits; LastUseAgeMS is the time since the last one.
	Hits         int   `json:"uses"`
	LastUseAgeMS int64 `json:"last_use_age_ms"`
}

// Entries lists the cache entries that an engine can export.
type Entries struct {
	Incarnation identity.Incarnation `json:"incarnation"`
	Entries     []Entry              `json:"entries"`
}

// Order is the desired state of an engine.
type Order struct {
	Fence        identity.Fence       `json:"fence"`
	Incarnation  identity.Incarnation `json:"incarnation"`
	Model        identity.Service     `json:"model"`
	ModelVersion string               `json:"model_version"`
	Adapter      string               `json:"adapter"`
	// Role is "mixed", "prefill" or "decode".
	Role string `json:"role"`
	// Drain asks the engine to refuse new requests and finish running ones.
	Drain bool `json:"drain"`
}
