// Package load sends a mix of calls to entry hosts and checks every answer.
//
// # Open loop
//
// Calls are sent at random times with a given mean rate, whether or not earlier
// ones were answered. A slow system therefore doesn't reduce its own load.
//
// # Checking
//
// Answers of a model are compared with the text that the simulated engine of
// internal/standin generates for the prompt. Answers of a ledger must contain the id
// of the requested filing.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/caller"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/standin/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Mix is the relative frequency of each kind of call.
type Mix struct {
	Draft  float64
	Lookup float64
	Filing float64
}

// Organisation is a caller. Its part of all calls is its Share divided by the sum
// of all shares.
type Organisation struct {
	Key   string
	Share float64
}

// Plan describes the calls to send.
type Plan struct {
	// Rate is the mean number of calls per second.
	Rate     float64
	Duration time.Duration
	Mix      Mix
	Seed     uint64
	// Model and Ledger are the services to call.
	Model         identity.Service
	Ledger        identity.Service
	Organisations []Organisation
	// PromptTokens is the approximate length of each prompt, AnswerTokens the mean
	// length of an answer.
	PromptTokens unit.Tokens
	AnswerTokens unit.Tokens
	// Conversations is the number of prompt prefixes that an organisation reuses.
	Conversations int
	// Timeout bounds one call with all its retries.
	Timeout time.Duration
}

// Kind is the kind of a call.
type Kind string

// The kinds of calls: a Draft is a streamed completion, a Lookup reads a filing from
// the ledger, and a Filing submits one under an idempotency key.
const (
	Draft  Kind = "draft"
	Lookup Kind = "lookup"
	Filing Kind = "filing"
)

// Outcome is a call with its result.
type Outcome struct {
	Kind Kind
	// ID is the id of the filing, for filings and lookups.
	ID     string
	Result caller.Result
	// Misdelivered reports that the answer was complete but belongs to another call.
	Misdelivered bool
	// Truncated reports that an answer ended as if complete but lacked part of its
	// text.
	Truncated bool
}

// Accepted reports whether the system accepted the call, that is, didn't answer it
// with the verdict NotRun.
func (o Outcome) Accepted() bool {
	return o.Result.Complete || o.Result.Failure == nil || o.Result.Failure.Verdict != verdict.NotRun
}

// Complete reports whether the call received its own complete answer.
func (o Outcome) Complete() bool {
	return o.Result.Complete && !o.Misdelivered && !o.Truncated
}

// Run sends the plan's calls through client and returns their outcomes.
func Run(ctx context.Context, client caller.Client, plan Plan) ([]Outcome, error) {
	random := rand.New(rand.NewPCG(plan.Seed, plan.Seed))
	var group errgroup.Group
	var mu sync.Mutex
	var outcomes []Outcome
	end := time.Now().Add(plan.Duration)
	next := time.Now()
	for number := 0; ; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / plan.Rate * float64(time.Second)))
		if next.After(end) {
			break
		}
		request := plan.drawRequest(random, number)
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return outcomes, group.Wait()
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, plan.Timeout)
			defer cancel()
			outcome := request.send(ctx, client)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, outcome)
			return nil
		})
	}
	err := group.Wait()
	return outcomes, err
}

// callRequest is a randomly generated call: completion for a model, call for a ledger.
type callRequest struct {
	kind       Kind
	key        string
	completion caller.CompletionRequest
	call       caller.Call
	id         string
}

func (p Plan) drawRequest(random *rand.Rand, number int) callRequest {
	organisation := p.drawOrganisation(random)
	point := random.Float64() * (p.Mix.Draft + p.Mix.Lookup + p.Mix.Filing)
	id := fmt.Sprintf("f%d-%d", p.Seed, number)
	switch {
	case point < p.Mix.Draft:
		return callRequest{kind: Draft, key: organisation.Key, completion: p.drawDraft(random, organisation, number)}
	case point < p.Mix.Draft+p.Mix.Lookup:
		return callRequest{kind: Lookup, key: organisation.Key, id: id, call: caller.Call{
			Service: p.Ledger, Method: http.MethodGet, Path: "/filings/" + id,
		}}
	default:
		return callRequest{kind: Filing, key: organisation.Key, id: id, call: caller.Call{
			Service: p.Ledger, Method: http.MethodPost, Path: "/filings/" + id, Key: id, Body: "count " + id,
		}}
	}
}

func (p Plan) drawOrganisation(random *rand.Rand) Organisation {
	total := 0.0
	for _, o := range p.Organisations {
		total += o.Share
	}
	point := random.Float64() * total
	for _, o := range p.Organisations {
		point -= o.Share
		if point < 0 {
			return o
		}
	}
	return p.Organisations[len(p.Organisations)-1]
}

func (p Plan) drawDraft(random *rand.Rand, organisation Organisation, number int) caller.CompletionRequest {
	conversation := random.IntN(max(1, p.Conversations))
	shared := max(1, int(p.PromptTokens)*3/4)
	own := max(1, int(p.PromptTokens)/4)
	var prompt strings.Builder
	for i := range shared {
		fmt.Fprintf(&prompt, "%s.%d.%d ", organisation.Key, conversation, i)
	}
	for i := range own {
		fmt.Fprintf(&prompt, "%d.%d ", number, i)
	}
	tokens := p.AnswerTokens/2 + unit.Tokens(random.Int64N(max(1, int64(p.AnswerTokens))))
	return caller.CompletionRequest{
		Model: p.Model, Prompt: strings.TrimSpace(prompt.String()), MaxTokens: max(1, tokens), Stream: true,
	}
}

func (r callRequest) send(ctx context.Context, client caller.Client) Outcome {
	if r.kind == Draft {
		return r.sendDraft(ctx, client)
	}
	outcome := Outcome{Kind: r.kind, ID: r.id, Result: client.CallService(ctx, r.key, r.call)}
	if !outcome.Result.Complete {
		return outcome
	}
	var filing struct {
		ID string `json:"id"`
	}
	err := json.Unmarshal([]byte(outcome.Result.Text), &filing)
	outcome.Truncated = err != nil
	outcome.Misdelivered = err == nil && filing.ID != r.id
	return outcome
}

func (r callRequest) sendDraft(ctx context.Context, client caller.Client) Outcome {
	outcome := Outcome{Kind: Draft, Result: client.Complete(ctx, r.key, r.completion)}
	if !outcome.Result.Complete {
		return outcome
	}
	want := engine.ExpectedText(r.completion.Prompt, r.completion.MaxTokens)
	got := outcome.Result.Text
	outcome.Truncated = got != want && strings.HasPrefix(want, got)
	outcome.Misdelivered = got != want && !outcome.Truncated
	return outcome
}
