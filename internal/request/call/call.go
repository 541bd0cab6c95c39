// Package call describes an accepted call: its caller, its service, its content,
// and whether it may be repeated.
package call

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Call is one request by a caller. It is immutable once accepted.
type Call struct {
	Request      identity.Request
	Organisation identity.Organisation
	Service      identity.Service
	// IdempotencyKey is the caller's Idempotency-Key, if any.
	IdempotencyKey string
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
	Priority engine.Priority

	// Prompt, MaxTokens and PrefixBlocks are set for calls to a model.
	Prompt    string
	MaxTokens unit.Tokens
	// PromptTokens is the token count of Prompt, PrefixBlocks its prefix
	// blocks.
	PromptTokens unit.Tokens
	PrefixBlocks []engine.Block

	// Method, Path, Query, ContentType and Body are set for plain services.
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Idempotent is false for a call that may run at most once.
	Idempotent bool
}
