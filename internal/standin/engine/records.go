package engine

import (
	"sync"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Records counts the work executed by all engines of a deployment.
type Records struct {
	mu         sync.Mutex
	computed   map[wire.Block]bool
	recomputed unit.Tokens
	generated  unit.Tokens
	prefilled  unit.Tokens
	starts     map[identity.Request]int
}

// Totals is the total work of the engines.
type Totals struct {
	// Recomputed counts prompt tokens in blocks that some engine had already
	// processed.
	Recomputed unit.Tokens `json:"recomputed_tokens"`
	Generated  unit.Tokens `json:"generated_tokens"`
	// Prompt counts the prompt tokens that were not in the prefix cache.
	Prompt unit.Tokens `json:"prompt_tokens"`
	// Requests counts distinct request ids; Starts counts executions, so a
	// request that was executed twice counts twice.
	Requests int `json:"requests"`
	Starts   int `json:"starts"`
}

// NewRecords returns empty Records.
func NewRecords() *Records {
	return &Records{computed: make(map[wire.Block]bool), starts: make(map[identity.Request]int)}
}

// Totals returns the work so far.
func (r *Records) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := Totals{Recomputed: r.recomputed, Generated: r.generated, Prompt: r.prefilled, Requests: len(r.starts)}
	for _, n := range r.starts {
		t.Starts += n
	}
	return t
}

// recordStart counts an execution of request. Its first hits blocks were in the
// prefix cache. uncachedTail is the number of tokens after the last block.
func (r *Records) recordStart(request identity.Request, blocks []wire.Block, hits int, uncachedTail unit.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[request]++
	for _, block := range blocks[hits:] {
		if r.computed[block] {
			r.recomputed += wire.BlockTokens
		}
		r.computed[block] = true
	}
	r.prefilled += unit.Tokens(len(blocks)-hits)*wire.BlockTokens + uncachedTail
}

func (r *Records) recordGenerated(n unit.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generated += n
}
