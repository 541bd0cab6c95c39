package engine

import (
	"sync"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Records counts what all engines of a deployment really did.
type Records struct {
	mu         sync.Mutex
	computed   map[wire.Block]bool
	recomputed unit.Tokens
	generated  unit.Tokens
	prompt     unit.Tokens
	starts     map[identity.Request]int
}

// Totals is the sum of what engines did.
type Totals struct {
	// Recomputed are prompt tokens read again after some engine had read them.
	Recomputed unit.Tokens `json:"recomputed_tokens"`
	Generated  unit.Tokens `json:"generated_tokens"`
	Prompt     unit.Tokens `json:"prompt_tokens"`
	// Requests counts distinct request ids, Starts every start of one.
	Requests int `json:"requests"`
	Starts   int `json:"starts"`
}

// NewRecords makes empty Records.
func NewRecords() *Records {
	return &Records{computed: make(map[wire.Block]bool), starts: make(map[identity.Request]int)}
}

// Totals sums up so far.
func (r *Records) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := Totals{Recomputed: r.recomputed, Generated: r.generated, Prompt: r.prompt, Requests: len(r.starts)}
	for _, n := range r.starts {
		t.Starts += n
	}
	return t
}

func (r *Records) start(request identity.Request, blocks []wire.Block, cached int, tail unit.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[request]++
	for _, block := range blocks[cached:] {
		if r.computed[block] {
			r.recomputed += wire.BlockTokens
		}
		r.computed[block] = true
	}
	r.prompt += unit.Tokens(len(blocks)-cached)*wire.BlockTokens + tail
}

func (r *Records) generate(n unit.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generated += n
}
